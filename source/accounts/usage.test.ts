import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {complete} from '../client/mod.ts';
import {type Row} from '../platform/mod.ts';
import {Fleet, testKey, workspacesFile} from '../testing/fleet.ts';
import {usageTable, type UsageRow} from './usage-row.ts';

const hintMilliseconds = 200;
const peers = {heartbeatMilliseconds: 200, usageHintMilliseconds: hintMilliseconds};

async function createFleet(routers: string[], usageMilliseconds: number): Promise<Fleet> {
	const fleet = await Fleet.create();
	await fleet.startEngine('engine-1', 'briefs');
	for (const name of routers) {
		await fleet.startRouter(name, {peers, platform: {usageMilliseconds, timeoutMilliseconds: 300}});
	}

	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	return fleet;
}

async function rowsOf(fleet: Fleet): Promise<UsageRow[]> {
	const {rows} = await fleet.control<{rows: Row[]}>('platform', `/control/rows?table=${usageTable}`);
	return rows.map(({value}) => value as UsageRow);
}

async function totalOf(fleet: Fleet): Promise<number> {
	const rows = await rowsOf(fleet);
	return rows.reduce((sum, row) => sum + row.delivered_tokens, 0);
}

/** Streams an answer; returns the number of tokens received. */
async function generate(fleet: Fleet, router: string, tokens: number): Promise<number> {
	const answer = await complete({
		entries: fleet.only(router), key: testKey, request: {model: 'briefs', prompt: 'Clans', max_tokens: tokens},
	});
	return answer._unsafeUnwrap().tokens;
}

/** Watches the sum of the table until stopped; returns whether it ever fell or went above a bound. */
function watchTotals(fleet: Fleet, bound: () => number): () => Promise<{fell: boolean; exceeded: boolean}> {
	const stopping = new AbortController();
	const watched = (async () => {
		const seen = {fell: false, exceeded: false};
		let last = 0;
		while (!stopping.signal.aborted) {
			const total = await totalOf(fleet);
			seen.fell ||= total < last;
			seen.exceeded ||= total > bound();
			last = total;
			await delay(20);
		}

		return seen;
	})();
	return async () => {
		stopping.abort();
		return watched;
	};
}

async function untilTotal(fleet: Fleet, total: number): Promise<void> {
	await fleet.until(async () => await totalOf(fleet) === total, `the table holds ${total} tokens`);
}

test('lost answers, writes that take effect late and a long outage neither double nor lower a total', async () => {
	await using fleet = await createFleet(['router-1'], 100);
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

test('the totals of a killed router are written by a peer, but for the tokens of the last hint period', async () => {
	await using fleet = await createFleet(['router-1', 'router-2', 'router-3'], 600_000);
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
	// Hint period, the heartbeat that carries it, and as much again for a busy machine.
	const mayBeLost = times.filter(time => time > killedAt - (2 * (hintMilliseconds + peers.heartbeatMilliseconds))).length;
	assert.ok(total <= before + receivedTokens, `${total} of ${before + receivedTokens}`);
	assert.ok(total >= before + receivedTokens - mayBeLost, `${total} of ${before + receivedTokens}, ${mayBeLost} may be lost`);
	const rows = await rowsOf(fleet);
	assert.deepEqual(rows.map(({host}) => host), ['router-1']);
});

test('a router that was paused until a peer wrote for it goes on with its own totals', async () => {
	await using fleet = await createFleet(['router-1', 'router-2'], 1500);
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

test('a planned stop writes the last totals before it ends', async () => {
	await using fleet = await createFleet(['router-1', 'router-2'], 600_000);
	const received = await generate(fleet, 'router-1', 50);
	fleet.signal('router-1', 'SIGTERM');
	assert.equal(await fleet.ended('router-1'), 0);
	assert.equal(await totalOf(fleet), received);
});
