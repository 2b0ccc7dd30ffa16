import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createUsageFleet, generate, rowsOf, totalOf, untilTotal, watchTotals,
} from '../testing/usage-fleet.ts';
import {adaptedPeriod, fleetTransactionsPerSecond} from './usage-writer.ts';

test('lost responses, delayed writes and a long outage neither double nor lower a total', async () => {
	await using fleet = await createUsageFleet(['router-1'], 100);
	let received = 0;
	const stop = watchTotals(fleet, () => received + 200);
	const paths = ['/table/transact'];
	for (const fault of [
		{mode: 'lose_answers', requests: 3, paths},
		{
			mode: 'slow', delayMilliseconds: 900, requests: 3, paths,
		},
		{mode: 'down', paths},
		{mode: 'silent', paths},
	]) {
		await fleet.control('platform', '/control/fault', fault);
		received += await generate(fleet, 'router-1', 100);
		received += await generate(fleet, 'router-1', 40);
	}

	await fleet.control('platform', '/control/fault', {mode: 'up'});
	await untilTotal(fleet, received);
	await delay(1000);
	assert.deepEqual(await stop(), {fell: false, exceeded: false});
	await untilTotal(fleet, received);
	const rows = await rowsOf(fleet);
	assert.equal(rows.length, 1);
});

test('390 routers together stay within the limit of usage transactions', () => {
	for (const transactions of [0, 1, 3, 27]) {
		const period = adaptedPeriod(5000, 390, transactions);
		assert.ok((390 * Math.max(1, transactions) * 1000) / period <= fleetTransactionsPerSecond + 0.001);
	}

	assert.equal(adaptedPeriod(5000, 14, 1), 5000);
});

test('a router writes its last totals before a graceful shutdown ends', async () => {
	await using fleet = await createUsageFleet(['router-1', 'router-2'], 600_000);
	const received = await generate(fleet, 'router-1', 50);
	fleet.signal('router-1', 'SIGTERM');
	assert.equal(await fleet.ended('router-1'), 0);
	assert.equal(await totalOf(fleet), received);
});

test('a peer writes the last totals of a router that shut down gracefully while the store was down', async () => {
	await using fleet = await createUsageFleet(['router-1', 'router-2'], 600_000);
	await fleet.control('platform', '/control/fault', {mode: 'down', paths: ['/table']});
	const received = await generate(fleet, 'router-1', 50);
	fleet.signal('router-1', 'SIGTERM');
	assert.equal(await fleet.ended('router-1'), 0);
	await fleet.control('platform', '/control/fault', {mode: 'up'});
	await untilTotal(fleet, received);
});
