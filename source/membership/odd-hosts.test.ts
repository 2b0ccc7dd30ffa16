import assert from 'node:assert/strict';
import {test} from 'node:test';
import {complete} from '../client/mod.ts';
import {createBriefsFleet} from '../testing/briefs-fleet.ts';
import {testKey} from '../testing/fleet.ts';

/** Levels of nesting of an odd host. */
const nestingLevels = 3000;

/** Returns lists in lists. */
function nest(levels: number): unknown[] {
	let nested: unknown[] = [];
	for (let level = 1; level < levels; level += 1) {
		nested = [nested];
	}

	return nested;
}

const place = {availabilityZone: 'zone-a', state: 'live'};

/** Hosts that another writer may leave on the list. */
const oddHosts: unknown[] = [
	{name: 'nested', ...place, endpoints: nest(nestingLevels)},
	{name: 'port-out-of-range', ...place, endpoints: [{service: 'briefs', address: '127.0.0.1:99999'}]},
	{name: 'port-zero', ...place, endpoints: [{service: 'briefs', address: '127.0.0.1:0'}]},
	{name: 'no-address', ...place, endpoints: [{service: 'briefs', address: 'no address'}]},
	{name: 'entry-out-of-range', ...place, entry: {callers: '127.0.0.1:70000', peers: '127.0.0.1:70000', operators: '127.0.0.1:70000'}},
	{name: null, availabilityZone: null, state: null},
	{name: 'unknown-state', availabilityZone: 'zone-a', state: 'asleep'},
	7,
	null,
];

test('routers skip odd hosts on the host list, follow the others, and do not end', async () => {
	await using fleet = await createBriefsFleet();
	await fleet.startEngine('engine-3', 'briefs');
	for (const engine of ['engine-1', 'engine-2']) {
		fleet.signal(engine, 'SIGKILL');
	}

	await fleet.control('platform', '/control/hosts', {hosts: [...oddHosts, ...fleet.hosts.values()]});
	for (const router of ['router-1', 'router-2']) {
		for (let number = 0; number < 5; number += 1) {
			const answer = await complete({
				entries: fleet.entries(router),
				key: testKey,
				request: {
					model: 'briefs', prompt: `Lore ${number}`, max_tokens: 5, seed: 1,
				},
				deadlineMilliseconds: 15_000,
			});
			assert.equal(answer.isOk() && answer.value.tokens, 5, JSON.stringify(answer));
		}

		assert.equal(fleet.process(router).child.exitCode, null);
		assert.equal(fleet.process(router).child.signalCode, null);
	}
});
