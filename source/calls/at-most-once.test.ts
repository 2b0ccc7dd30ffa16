import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformClient} from '../table-service/mod.ts';
import {Fleet} from '../testing/fleet.ts';
import {sendCall as httpCall} from '../testing/call.ts';
import {
	claimOf, linkFault, runsOf, sendCall, startCallFleet,
} from '../testing/call-fleet.ts';
import {settleClaim} from './mod.ts';

const untilClaimState = async (fleet: Fleet, key: string, state: string) => fleet.until(async () => {
	const claim = await claimOf(fleet, key);
	return claim?.state === state;
}, `the claim of ${key} has state ${state}`);

const codeOf = async (fleet: Fleet, key: string) => {
	const {code} = await sendCall(fleet, {router: 'router-2', key});
	return code;
};

const listsEntry = async (fleet: Fleet, router: string, callers: string) => {
	const {body} = await httpCall(fleet.hosts.get(router)!.entry!.callers, {path: '/v1/entries'});
	return body.includes(callers);
};

const settle = async (fleet: Fleet, idempotencyKey: string, run: 'yes' | 'no') => {
	const platform = new PlatformClient({url: `http://${fleet.process('platform').address}`});
	const claim = await settleClaim(platform, {
		name: {workspace: 'test', service: 'orders', idempotencyKey}, run, operator: 'ana', now: Date.now(), token: `${idempotencyKey}-settled`,
	});
	await platform.close();
	return claim.match(({state}) => state, ({kind}) => kind);
};

const statusOf = async (fleet: Fleet, key: string) => {
	const {status} = await sendCall(fleet, {router: 'router-2', key});
	return status;
};

test('a repeat gets the stored answer, another body gets a conflict, and invalid keys are refused', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet);
	const first = await sendCall(fleet, {key: 'refill-1'});
	assert.deepEqual([first.status, first.run], [201, 'yes']);
	assert.deepEqual(JSON.parse(first.text), {key: 'refill-1', run: 1, body: {litres: 20}});
	await untilClaimState(fleet, 'refill-1', 'ended');
	for (const router of ['router-1', 'router-2'] as const) {
		const repeat = await sendCall(fleet, {router, key: 'refill-1'});
		assert.deepEqual([repeat.status, repeat.run, repeat.text], [201, 'yes', first.text]);
		assert.equal(repeat.headers['content-type'], first.headers['content-type']);
		const other = await sendCall(fleet, {router, key: 'refill-1', body: '{"litres":30}'});
		assert.deepEqual([other.status, other.code], [422, 'conflicting_body']);
		assert.notEqual(other.run, 'no');
	}

	const missing = await sendCall(fleet, {});
	assert.deepEqual([missing.status, missing.code, missing.run], [400, 'missing_idempotency_key', 'no']);
	for (const key of ['a b', 'x'.repeat(129)]) {
		const bad = await sendCall(fleet, {key});
		assert.deepEqual([bad.status, bad.code, bad.run], [400, 'bad_idempotency_key', 'no']);
	}

	assert.equal(await runsOf(fleet, 'refill-1'), 1);
	const large = {key: 'refill-large', body: JSON.stringify({note: 'n'.repeat(60_000)})};
	const whole = await sendCall(fleet, large);
	assert.deepEqual([whole.status, (JSON.parse(whole.text) as {body: {note: string}}).body.note.length], [201, 60_000]);
	await untilClaimState(fleet, large.key, 'ended');
	const notKept = await sendCall(fleet, {...large, router: 'router-2'});
	assert.deepEqual([notKept.status, notKept.code, notKept.run], [409, 'answer_not_kept', 'yes']);
	assert.equal(await runsOf(fleet, large.key), 1);
});

test('concurrent calls with one key through two routers run once', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet);
	for (let round = 0; round < 40; round += 1) {
		const key = `round-${round}`;
		const answers = await Promise.all((['router-1', 'router-2', 'router-1', 'router-2'] as const).map(async router => sendCall(fleet, {router, key})));
		assert.equal(await runsOf(fleet, key), 1);
		assert.ok(answers.some(({status}) => status === 201));
		for (const answer of answers) {
			assert.ok(answer.status === 201 || answer.code === 'call_in_progress', answer.text);
			assert.ok(answer.status === 201 || answer.retryAfter !== undefined);
		}
	}
});

test('a router killed after its claim leaves an unknown outcome, and the call runs only after an operator withdraws the claim', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 1});
	await linkFault(fleet, 'store-1', 'drop_answers');
	const lost = sendCall(fleet, {key: 'killed'});
	await untilClaimState(fleet, 'killed', 'running');
	fleet.signal('router-1', 'SIGKILL');
	const {run} = await lost;
	assert.equal(run, 'lost');
	assert.equal(await settle(fleet, 'killed', 'no'), 'still_running');
	const early = await sendCall(fleet, {router: 'router-2', key: 'killed'});
	assert.deepEqual([early.status, early.code, early.run], [409, 'call_in_progress', 'unknown']);
	await fleet.until(async () => await codeOf(fleet, 'killed') === 'outcome_unknown', 'the deadline of the claim has passed');
	assert.equal(await runsOf(fleet, 'killed'), 0);
	assert.equal(await settle(fleet, 'killed', 'no'), 'withdrawn');
	assert.equal(await statusOf(fleet, 'killed'), 201);
	assert.equal(await settle(fleet, 'killed', 'yes'), 'already_settled');
	assert.equal(await runsOf(fleet, 'killed'), 1);
});

test('a router killed after sending leaves an unknown outcome, and the call is not run again', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 1, plain: {answerMilliseconds: 60_000}});
	const lost = sendCall(fleet, {key: 'sent'});
	await fleet.until(async () => await runsOf(fleet, 'sent') === 1, 'the call has run');
	fleet.signal('router-1', 'SIGKILL');
	const {run} = await lost;
	assert.equal(run, 'lost');
	await fleet.until(async () => await codeOf(fleet, 'sent') === 'outcome_unknown', 'the deadline of the claim has passed');
	assert.equal(await settle(fleet, 'sent', 'yes'), 'ended');
	assert.equal(await codeOf(fleet, 'sent'), 'answer_not_kept');
	assert.equal(await runsOf(fleet, 'sent'), 1);
});

test('a router paused between claim and send runs the call once, despite repeats in the meantime', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 20});
	await linkFault(fleet, 'store-1', 'drop_answers');
	const paused = sendCall(fleet, {key: 'paused'});
	await untilClaimState(fleet, 'paused', 'running');
	fleet.signal('router-1', 'SIGSTOP');
	await linkFault(fleet, 'store-1', 'up');
	for (let repeat = 0; repeat < 5; repeat += 1) {
		const answer = await sendCall(fleet, {router: 'router-2', key: 'paused'});
		assert.equal(answer.code, 'call_in_progress');
	}

	assert.equal(await runsOf(fleet, 'paused'), 0);
	fleet.signal('router-1', 'SIGCONT');
	const answer = await paused;
	assert.deepEqual([answer.status, answer.run], [201, 'yes']);
	const repeat = await sendCall(fleet, {router: 'router-2', key: 'paused'});
	assert.deepEqual([repeat.status, repeat.text], [201, answer.text]);
	assert.equal(await runsOf(fleet, 'paused'), 1);
});

test('a router that resumes after the deadline withdraws its claim instead of sending, and a repeat runs', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 1});
	await linkFault(fleet, 'store-1', 'drop_answers');
	const paused = sendCall(fleet, {key: 'late'});
	await untilClaimState(fleet, 'late', 'running');
	fleet.signal('router-1', 'SIGSTOP');
	await linkFault(fleet, 'store-1', 'up');
	await fleet.until(async () => await codeOf(fleet, 'late') === 'outcome_unknown', 'the deadline of the claim has passed');
	fleet.signal('router-1', 'SIGCONT');
	const answer = await paused;
	assert.equal(answer.run, 'no');
	assert.equal(await runsOf(fleet, 'late'), 0);
	const repeat = await sendCall(fleet, {router: 'router-2', key: 'late'});
	assert.deepEqual([repeat.status, await runsOf(fleet, 'late')], [201, 1]);
});

test('a call to an unreachable endpoint is not run, and a repeat may run', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet);
	const {address} = fleet.process('plain-1');
	fleet.signal('plain-1', 'SIGKILL');
	await fleet.ended('plain-1');
	fleet.addHost({...fleet.hosts.get('plain-1')!, endpoints: [{service: 'orders', address}]});
	// An open circuit breaker also causes no_endpoint. The marker entry in the same host list proves that the router has received the list.
	const marker = {callers: fleet.allocate(), peers: fleet.allocate(), operators: fleet.allocate()};
	fleet.addHost({
		name: 'marker', availabilityZone: 'zone-a', region: 'home', state: 'live', entry: marker, endpoints: [],
	});
	await fleet.publishHosts();
	await fleet.until(async () => listsEntry(fleet, 'router-2', marker.callers), 'the router has received the new list');
	const refused = await sendCall(fleet, {router: 'router-2', key: 'refused'});
	assert.deepEqual([refused.status, refused.code, refused.run], [503, 'no_endpoint', 'no']);
	await fleet.startStandIn('plain', 'plain-1', {}, address);
	await fleet.until(async () => await statusOf(fleet, 'refused') === 201, 'a repeat runs');
	assert.equal(await runsOf(fleet, 'refused'), 1);
});

test('an endpoint that crashes, or whose connection fails or becomes silent, during a call leaves a stored unknown outcome', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 2, plain: {answerMilliseconds: 60_000}});
	for (const fault of ['silent_existing', 'cut', 'killed']) {
		const pending = sendCall(fleet, {key: fault});
		await fleet.until(async () => await runsOf(fleet, fault) === 1, 'the call has run');
		if (fault === 'killed') {
			fleet.signal('plain-1', 'SIGKILL');
		} else {
			await linkFault(fleet, 'endpoint-1', fault);
		}

		const answer = await pending;
		assert.deepEqual([answer.code, answer.run], ['outcome_unknown', 'unknown']);
		await untilClaimState(fleet, fault, 'unknown');
		const repeat = await sendCall(fleet, {router: 'router-2', key: fault});
		assert.deepEqual([repeat.status, repeat.code, repeat.run, repeat.retryAfter], [409, 'outcome_unknown', 'unknown', undefined]);
		if (fault !== 'killed') {
			assert.equal(await runsOf(fleet, fault), 1);
			await linkFault(fleet, 'endpoint-1', 'up');
		}
	}
});
