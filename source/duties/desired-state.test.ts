import assert from 'node:assert/strict';
import {test} from 'node:test';
import {modelServiceSchema} from '../configuration/mod.ts';
import {isInDesiredState, desiredEngines} from './mod.ts';

test('an engine that serves two services belongs to one duty, with the models of both', () => {
	const [letters, briefs] = ['letters', 'briefs'].map(adapter => modelServiceSchema.parse({
		service: adapter, kind: 'model', model: {name: 'model', version: 'v1', adapter},
	}));
	const endpoints: Record<string, string[]> = {letters: ['shared', 'own'], briefs: ['shared']};
	const engines = (service = letters!) => desiredEngines({service, services: [letters!, briefs!], endpointsOf: name => endpoints[name] ?? []});
	assert.deepEqual(engines(letters), [{address: 'own', models: [{model: 'model', version: 'v1', adapters: ['letters']}]}]);
	const [shared, ...others] = engines(briefs);
	assert.deepEqual([shared, others], [{address: 'shared', models: [{model: 'model', version: 'v1', adapters: ['briefs', 'letters']}]}, []]);
	assert.equal(isInDesiredState([{model: 'model', version: 'v1', adapters: ['letters', 'briefs']}], shared!.models), true);
	assert.equal(isInDesiredState([{model: 'model', version: 'v1', adapters: ['letters']}], shared!.models), false);
});
