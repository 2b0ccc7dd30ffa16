import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {plainServiceSchema} from '../configuration/mod.ts';
import {
	linkFault, runsOf, sendCall, startCallFleet, storeFault,
} from '../testing/call-fleet.ts';
import {Fleet} from '../testing/fleet.ts';
import {isIdempotent} from './mod.ts';

const lookup = async (fleet: Fleet, path: string) => sendCall(fleet, {method: 'GET', path});

const connections = async (fleet: Fleet, link: string) => {
	const links = await fleet.control<Record<string, {open: number; accepted: number}>>('proxy', '/control/connections');
	return links[link]!;
};

test('only calls that the service file declares are idempotent, with paths matched at segment boundaries', () => {
	const service = plainServiceSchema.parse({
		service: 'orders', kind: 'plain', idempotentCalls: [{method: 'GET', path: '/status'}, {method: 'PUT', path: '/stops/'}],
	});
	const cases: Array<[string, string, boolean]> = [
		['GET', '/status', true],
		['GET', '/status/7', true],
		['GET', '/statuses', false],
		['POST', '/status', false],
		['PUT', '/stops/1', true],
		['GET', '/status/..%2frefills', false],
		['GET', '/status/%2E%2E/refills', false],
		['GET', '/status//refills', false],
		['GET', '/refills', false],
	];
	for (const [method, path, expected] of cases) {
		assert.equal(isIdempotent(service, method, path), expected, `${method} ${path}`);
	}
});

test('an idempotent call is retried on another endpoint when one is disconnected, even while the store is down', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {endpoints: 2});
	await storeFault(fleet, {mode: 'down'});
	await linkFault(fleet, 'endpoint-1', 'cut');
	for (let call = 0; call < 8; call += 1) {
		const answer = await lookup(fleet, `/status/cut-${call}`);
		assert.deepEqual([answer.status, answer.run], [200, 'yes']);
		assert.equal(await runsOf(fleet, `/status/cut-${call}`), 1);
	}
});

test('an idempotent call on a connection that becomes silent is hedged on a new connection', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 60});
	await Promise.all(Array.from({length: 4}, async (_, call) => lookup(fleet, `/status/warm-${call}`)));
	await linkFault(fleet, 'endpoint-1', 'silent_existing');
	const answer = await lookup(fleet, '/status/silent');
	assert.equal(answer.status, 200);
	assert.equal(await runsOf(fleet, '/status/silent'), 1);
});

test('a slow idempotent call is hedged on a second endpoint, and the slower attempt is aborted', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {endpoints: 2, deadlineSeconds: 60});
	for (let call = 0; call < 25; call += 1) {
		await lookup(fleet, '/status/warm');
	}

	await fleet.control('plain-1', '/control/speed', {workMilliseconds: 30_000});
	for (let call = 0; call < 5; call += 1) {
		const answer = await lookup(fleet, `/status/slow-${call}`);
		assert.equal(answer.status, 200);
	}

	await fleet.until(async () => {
		const {open} = await connections(fleet, 'endpoint-1');
		return open === 0;
	}, 'the slow attempts are aborted');
	assert.deepEqual(Object.keys(await fleet.control('plain-1', '/control/runs')).filter(path => path.includes('slow')), []);
});

test('retries of idempotent calls stay within the budget when every endpoint fails', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {endpoints: 2});
	await linkFault(fleet, 'endpoint-1', 'cut');
	await linkFault(fleet, 'endpoint-2', 'cut');
	const calls = 50;
	for (let call = 0; call < calls; call += 1) {
		const answer = await lookup(fleet, '/status/1');
		assert.ok(answer.status >= 502 && answer.retryAfter !== undefined);
		assert.notEqual(answer.run, 'yes');
	}

	const [first, second] = [await connections(fleet, 'endpoint-1'), await connections(fleet, 'endpoint-2')];
	const attempts = first.accepted + second.accepted;
	assert.ok(attempts <= calls + 10 + (0.2 * calls), `${attempts} attempts for ${calls} calls`);
});

test('hedges stay within the budget when every endpoint is slow', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {endpoints: 2, deadlineSeconds: 60});
	for (let call = 0; call < 25; call += 1) {
		await lookup(fleet, '/status/warm');
	}

	const workMilliseconds = 800;
	await fleet.control('plain-1', '/control/speed', {workMilliseconds});
	await fleet.control('plain-2', '/control/speed', {workMilliseconds});
	const calls = 50;
	const answers = await Promise.all(Array.from({length: calls}, async () => lookup(fleet, '/status/slow')));
	assert.ok(answers.every(({status}) => status === 200));
	// The endpoints also count aborted attempts, at the time at which their work would have ended.
	await delay(2 * workMilliseconds);
	const attempts = await runsOf(fleet, '/status/slow');
	assert.ok(attempts > calls, 'some calls are hedged');
	assert.ok(attempts <= calls + 10 + (0.2 * calls), `${attempts} attempts for ${calls} calls`);
});
