import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fleet} from '../testing/fleet.ts';
import {
	claimOf, runsOf, sendCall, startCallFleet, storeFault,
} from '../testing/call-fleet.ts';

const untilClaimState = async (fleet: Fleet, key: string, state: string) => fleet.until(async () => {
	const claim = await claimOf(fleet, key);
	return claim?.state === state;
}, `the claim of ${key} has state ${state}`);

const statusOf = async (fleet: Fleet, key: string) => {
	const {status} = await sendCall(fleet, {router: 'router-2', key});
	return status;
};

test('while the store is down a call is refused at once, with run "no" only if no earlier attempt can have run', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet);
	await sendCall(fleet, {key: 'before'});
	await storeFault(fleet, {mode: 'down'});
	const fresh = await sendCall(fleet, {key: 'fresh', firstAttempt: true});
	assert.deepEqual([fresh.status, fresh.code, fresh.run], [503, 'store_unavailable', 'no']);
	assert.ok(fresh.retryAfter !== undefined);
	const repeat = await sendCall(fleet, {key: 'before'});
	assert.deepEqual([repeat.code, repeat.run], ['store_unavailable', 'unknown']);
	const lookup = await sendCall(fleet, {method: 'GET', path: '/status/7'});
	assert.equal(lookup.status, 200);
	await storeFault(fleet, {mode: 'up'});
	assert.equal(await runsOf(fleet, 'fresh'), 0);
	assert.equal(await statusOf(fleet, 'fresh'), 201);
	assert.deepEqual([await runsOf(fleet, 'fresh'), await runsOf(fleet, 'before')], [1, 1]);
});

test('a call runs once when the store loses the answer to its claim or is slow', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet);
	await storeFault(fleet, {mode: 'lose_answers', requests: 1, paths: ['/table/transact']});
	assert.equal(await statusOf(fleet, 'lost-insert'), 201);
	await storeFault(fleet, {
		mode: 'slow', delayMilliseconds: 600, requests: 1, paths: ['/table/transact'],
	});
	assert.equal(await statusOf(fleet, 'late-insert'), 201);
	await storeFault(fleet, {mode: 'slow', delayMilliseconds: 100});
	assert.equal(await statusOf(fleet, 'slow'), 201);
	await storeFault(fleet, {mode: 'up'});
	for (const key of ['lost-insert', 'late-insert', 'slow']) {
		await untilClaimState(fleet, key, 'ended');
		assert.equal(await statusOf(fleet, key), 201);
		assert.equal(await runsOf(fleet, key), 1);
	}
});

test('a claim whose answer is lost and that cannot be read back is withdrawn once the store recovers', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet);
	await storeFault(fleet, {mode: 'lose_answers'});
	const answer = await sendCall(fleet, {key: 'unread', firstAttempt: true});
	assert.deepEqual([answer.code, answer.run], ['store_unavailable', 'unknown']);
	assert.equal(await runsOf(fleet, 'unread'), 0);
	await storeFault(fleet, {mode: 'up'});
	await untilClaimState(fleet, 'unread', 'withdrawn');
	assert.equal(await statusOf(fleet, 'unread'), 201);
	assert.equal(await runsOf(fleet, 'unread'), 1);
});

test('the outcome is written to the claim even if the store loses the answer to the final write or is down for it', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {plain: {answerMilliseconds: 700}});
	for (const mode of ['lose_answers', 'down']) {
		const key = `end-${mode}`;
		const pending = sendCall(fleet, {key});
		await fleet.until(async () => await runsOf(fleet, key) === 1, 'the call has run');
		await storeFault(fleet, {mode});
		const answer = await pending;
		assert.deepEqual([answer.status, answer.run], [201, 'yes']);
		await storeFault(fleet, {mode: 'up'});
		await untilClaimState(fleet, key, 'ended');
		const repeat = await sendCall(fleet, {router: 'router-2', key});
		assert.equal(repeat.text, answer.text);
		assert.equal(await runsOf(fleet, key), 1);
	}
});

test('a repeat that gets the stored answer is not counted as another call of the workspace', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet);
	assert.equal(await statusOf(fleet, 'counted'), 201);
	await untilClaimState(fleet, 'counted', 'ended');
	for (let repeat = 0; repeat < 3; repeat += 1) {
		assert.equal(await statusOf(fleet, 'counted'), 201);
	}

	fleet.signal('router-2', 'SIGTERM');
	await fleet.ended('router-2');
	const {rows} = await fleet.control<{rows: Array<{value: {calls: number}}>}>('platform', '/control/rows?table=usage');
	assert.deepEqual(rows.map(({value}) => value.calls).filter(calls => calls > 0), [1]);
});
