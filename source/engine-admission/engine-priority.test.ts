import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Route, type RoutingConfiguration, type Workspace} from '../routing/mod.ts';
import {enginePriority} from './engine-priority.ts';

type ConfigurationOptions = {routePriorities: readonly number[]; workspacePriorities?: ReadonlyArray<number | undefined>; hasEngines?: boolean};

function createConfiguration({routePriorities, workspacePriorities, hasEngines = true}: ConfigurationOptions): RoutingConfiguration {
	const routes = routePriorities.map((priority, index) => ({
		name: `route-${index}`, priority, anonymous: false, services: [{service: 'scribe', weight: 1}],
	}) as unknown as Route);
	return {
		version: 1,
		routes,
		services: [{
			name: 'scribe',
			healthPath: '/health',
			connectionsPerEndpoint: 100,
			engine: hasEngines
				? {
					slots: 96, memoryTokens: 88_000, backups: true, copyMilliseconds: 1000,
				}
				: undefined,
		}],
		workspaces: workspacePriorities?.map((priority, index): Workspace => ({name: `workspace-${index}`, keys: [], priority})),
		limits: {
			headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
		},
	};
}

function prioritiesOf(options: ConfigurationOptions, importances: readonly number[]): Array<number | undefined> {
	const configuration = createConfiguration(options);
	return importances.map(importance => enginePriority(configuration, {service: 'scribe', importance}));
}

// Load: three kinds of generations of different priority come in bursts to the same engines.
test('generations of routes with different priorities keep their order at the engine', () => {
	assert.deepEqual(prioritiesOf({routePriorities: [10, 0, 200]}, [0, 10, 200]), [0, 1, 2]);
});

test('generations of more ranks than engines know share the lowest priority', () => {
	const ranks = Array.from({length: 12}, (_unused, index) => index);
	assert.deepEqual(prioritiesOf({routePriorities: ranks}, [8, 9, 10, 11]), [8, 9, 9, 9]);
});

// Load: one of many callers of one route matters more.
test('the priority of a workspace goes before that of the route', () => {
	assert.deepEqual(prioritiesOf({routePriorities: [1], workspacePriorities: [0, undefined, 1]}, [0, 1]), [0, 1]);
	assert.deepEqual(prioritiesOf({routePriorities: [1, 2], workspacePriorities: [3, 3]}, [3]), [undefined]);
});

test('requests that all rank the same, and those to plain endpoints, have no priority', () => {
	assert.deepEqual(prioritiesOf({routePriorities: [1, 1]}, [1]), [undefined]);
	assert.deepEqual(prioritiesOf({routePriorities: [0, 2], hasEngines: false}, [0, 2]), [undefined, undefined]);
});
