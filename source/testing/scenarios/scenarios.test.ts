import assert from 'node:assert/strict';
import path from 'node:path';
import {describe, it, test} from 'node:test';
import {formatFault, parseDocument} from '../../settings/mod.ts';
import {
	listScenarios, readScenario, runScenario, scenarioSchema,
} from './mod.ts';

/** Scenarios that run at once; each has some five processes that mostly wait. */
const concurrency = 8;

const files = await listScenarios();

describe('scenarios', {concurrency}, async () => {
	for (const file of files) {
		const scenario = await readScenario(file);
		if (scenario.isErr()) {
			it(`${path.basename(file)} has no fault`, () => {
				assert.fail(scenario.error.map(fault => formatFault(fault)).join('\n'));
			});
			continue;
		}

		it(scenario.value.description, async context => {
			await runScenario(scenario.value, {
				report(line) {
					context.diagnostic(line);
				},
			});
		});
	}
});

const faulty = `{
	"description": "three faults",
	"fleet": {
		"routers": [{"name": "router-1"}],
		"links": [{"name": "to-nobody", "to": "engine-9"}],
		"services": [{"service": "briefs", "kind": "model", "model": {"name": "model", "version": "v1"}}]
	},
	"steps": [
		{"do": {"action": "explode", "process": "router-1"}},
		{"do": {"action": "kill", "proces": "router-1"}},
		{"at": -1, "expect": {"fact": "runs", "key": "k"}}
	]
}`;

test('every fault of a scenario file is named by line and field', () => {
	const faults = parseDocument(faulty, 'faulty.jsonc', scenarioSchema)._unsafeUnwrapErr().map(fault => `${fault.line} ${fault.field}`);
	for (const expected of ['9 steps.0.do.action', '10 steps.1.do.process', '10 steps.1.do.proces', '11 steps.2.at']) {
		assert.ok(faults.includes(expected), `${expected} is not among ${faults.join(', ')}`);
	}
});

test('a scenario that names what does not exist is refused', () => {
	const repaired = faulty.replace('explode', 'kill').replace('"proces"', '"process"').replace('-1,', '1, "after": "letter answered",');
	const faults = parseDocument(repaired, 'faulty.jsonc', scenarioSchema)._unsafeUnwrapErr().map(fault => fault.message);
	assert.deepEqual(faults, ['the fleet has no process "engine-9"', 'no step starts a request "letter"']);
});

test('a scenario fails when its expectation does not hold', async () => {
	const scenario = scenarioSchema.parse({
		description: 'no engine',
		fleet: {routers: [{name: 'router-1'}], services: [{service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}}]},
		steps: [
			{
				do: {
					action: 'generate', name: 'letter', service: 'briefs', deadlineSeconds: 1,
				},
			},
			{expect: {fact: 'whole_answer', request: 'letter'}},
		],
	});
	await assert.rejects(runScenario(scenario), /step 2 \(whole_answer\): letter has no whole answer/v);
});
