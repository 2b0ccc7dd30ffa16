import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {complete} from '../client/mod.ts';
import {testKey} from '../testing/fleet.ts';
import {
	createUsageFleet, generate, hintMilliseconds, peers, rowsOf, totalOf, untilTotal, watchTotals,
} from '../testing/usage-fleet.ts';

test('a peer writes the totals of a killed router, except for the tokens of the last hint period', async () => {
	await using fleet = await createUsageFleet(['router-1', 'router-2', 'router-3'], 600_000);
	const before = await generate(fleet, 'router-1', 50);
	let receivedTokens = 0;
	let killedAt = 0;
	const times: number[] = [];
	const lost = complete({
		entries: fleet.only('router-1'),
		key: testKey,
		request: {model: 'briefs', prompt: 'Clans', max_tokens: 300},
		deadlineMilliseconds: 6000,
		onToken(_text, index) {
			receivedTokens = index + 1;
			times.push(performance.now());
			if (index === 200) {
				killedAt = performance.now();
				fleet.signal('router-1', 'SIGKILL');
			}
		},
	});
	await fleet.until(async () => await totalOf(fleet) > 0, 'a peer writes the totals');
	await lost;
	const total = await totalOf(fleet);
	// Hint period plus the heartbeat that carries the hint, doubled to allow for a busy machine.
	const mayBeLost = times.filter(time => time > killedAt - (2 * (hintMilliseconds + peers.heartbeatMilliseconds))).length;
	assert.ok(total <= before + receivedTokens, `${total} of ${before + receivedTokens}`);
	assert.ok(total >= before + receivedTokens - mayBeLost, `${total} of ${before + receivedTokens}, ${mayBeLost} may be lost`);
	const rows = await rowsOf(fleet);
	assert.deepEqual(rows.map(({host}) => host), ['router-1']);
});

test('a router that was paused until a peer wrote its totals continues with its own totals', async () => {
	await using fleet = await createUsageFleet(['router-1', 'router-2'], 1500);
	let received = await generate(fleet, 'router-1', 50);
	const stop = watchTotals(fleet, () => received + 50);
	await delay(hintMilliseconds + (2 * peers.heartbeatMilliseconds));
	fleet.signal('router-1', 'SIGSTOP');
	await fleet.until(() => fleet.process('router-2').log.join('').includes('usage of a lost router written'), 'router-2 writes for router-1', 30_000);
	await untilTotal(fleet, received);
	fleet.signal('router-1', 'SIGCONT');
	received += await generate(fleet, 'router-1', 50);
	await untilTotal(fleet, received);
	assert.deepEqual(await stop(), {fell: false, exceeded: false});
	const rows = await rowsOf(fleet);
	assert.equal(rows.length, 1);
});

test('a peer that received lower totals than a killed router had written does not lower the stored totals', async () => {
	await using fleet = await createUsageFleet(['router-1', 'router-2'], 100, 60_000);
	let received = await generate(fleet, 'router-1', 20);
	const stop = watchTotals(fleet, () => received + 50);
	await delay(5 * peers.heartbeatMilliseconds);
	received += await generate(fleet, 'router-1', 50);
	await untilTotal(fleet, received);
	fleet.signal('router-1', 'SIGKILL');
	await fleet.until(() => fleet.process('router-2').log.join('').includes('usage of a lost router written'), 'router-2 writes for router-1');
	assert.deepEqual(await stop(), {fell: false, exceeded: false});
	await untilTotal(fleet, received);
});
