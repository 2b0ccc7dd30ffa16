import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	eventsOf, expectedEvents, GatewayFleet, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {type CallerAnswer} from '../testing/call.ts';
import {type WorkerStandIn} from '../testing/stand-ins/worker-stand-in.ts';

const events = 40;

/** Time for which streams run before their engine is disturbed, in milliseconds; an engine that crashes after so many events is not held against the request. */
const runMilliseconds = 1000;

/** Time within which a request that was sent before its deadline reaches an engine, in milliseconds. */
const arrivalMilliseconds = 50;

type Bounds = Parameters<GatewayFleet['startGateway']>[1];

/** Streams that run at one engine beside others. */
type RunningStreams = {gateway: GatewayProcess; running: WorkerStandIn; others: WorkerStandIn[]; answering: Array<Promise<CallerAnswer>>};

/** Starts a gateway with one engine that streams run at, and adds two others once they run. */
async function startStreams(fleet: GatewayFleet, deadlines: readonly number[], bounds: Bounds = {}): Promise<RunningStreams> {
	const options = {service: 'scribe', events, eventMilliseconds: 50};
	const running = await fleet.startWorker({id: 'scribe-1', ...options});
	const gateway = await fleet.startGateway('gateway-1', bounds);
	const answering = deadlines.map(async (deadlineMilliseconds, index) => fleet.draft(gateway, {attempt: `stream-${index}`, deadlineMilliseconds}));
	await fleet.until(() => running.runs.length === deadlines.length, 'the streams run');
	const others = await Promise.all([2, 3].map(async index => fleet.startWorker({id: `scribe-${index}`, ...options})));
	await delay(runMilliseconds);
	return {
		gateway, running, others, answering,
	};
}

function assertWhole({body, whole}: CallerAnswer): void {
	assert.deepEqual(eventsOf(body), expectedEvents(events));
	assert.ok(whole);
}

// A stream waited for one round only: an engine that asks to back off is not asked again in the next one, and it was closed then.
test('a stream whose engine crashes goes on at an engine that asks to back off for a second', async () => {
	await using fleet = await GatewayFleet.create();
	const {running, others, answering: [answering]} = await startStreams(fleet, [9000]);
	for (const engine of others) {
		engine.backoffSeconds = 1;
	}

	running.crash();
	await delay(1000);
	for (const engine of others) {
		engine.backoffSeconds = undefined;
	}

	assertWhole(await answering!);
});

// A stream was closed at once since engines that ask to back off were not asked, so that none refused it.
test('a stream whose engine crashes goes on at an engine that asked others to back off for a second before', async () => {
	await using fleet = await GatewayFleet.create();
	const {gateway, running, others, answering: [answering]} = await startStreams(fleet, [9000]);
	for (const engine of others) {
		engine.backoffSeconds = 1;
	}

	const leaving = new AbortController();
	const refused = fleet.draft(gateway, {body: 'others', signal: leaving.signal, headers: {'x-azuretack-prompt-prefix': 'c3:200,d4:7800'}});
	await fleet.until(() => others.every(({arrivals}) => arrivals.length > 0), 'all others have refused a request');
	leaving.abort();
	await refused;
	for (const engine of others) {
		engine.backoffSeconds = undefined;
	}

	running.crash();
	assertWhole(await answering!);
});

// A stream that engines had refused was closed as soon as the retry budget refused it twice in a row.
test('a stream whose engine crashes goes on once the retry budget allows it, a second later', async () => {
	await using fleet = await GatewayFleet.create();
	const {gateway, running, others, answering: [answering]} = await startStreams(fleet, [9000], {retryRatio: 1, retrySlack: 0, retryWindowSeconds: 10});
	running.crash();
	await delay(1000);
	await Promise.all(Array.from({length: 10}, async () => fleet.draft(gateway)));
	assert.ok(others.some(({runs}) => runs.length > 0));
	assertWhole(await answering!);
});

// A request was sent on after its deadline, since only the pause between two rounds had passed when an engine was chosen.
test('no request reaches an engine after the deadline of a stream that waits', async () => {
	await using fleet = await GatewayFleet.create();
	const deadlines = Array.from({length: 16}, (_unused, index) => 2500 + (index * 60));
	const {running, others, answering} = await startStreams(fleet, deadlines);
	for (const engine of others) {
		engine.fault = 'full';
	}

	running.crash();
	await Promise.all(answering);
	await delay(500);
	const deadlineTimes = new Map(running.runs.map(({attempt, startedAt, headers}) => [attempt, startedAt + Number(headers['x-azuretack-deadline-ms'])]));
	const lateness = others.flatMap(({arrivals}) => arrivals).map(({attempt, at}) => Math.round(at - deadlineTimes.get(attempt)!));
	assert.ok(lateness.length > deadlines.length);
	assert.deepEqual(lateness.filter(milliseconds => milliseconds > arrivalMilliseconds), []);
});

// An engine that worked was left before its first event, and the request failed as soon as the other engines had refused it. Asked again, the
// engine was left once more after the same time.
test('a generation is answered whose engine reads its prompt for longer than usual while the other engines refuse it', async () => {
	await using fleet = await GatewayFleet.create();
	const fewEvents = 5;
	const options = {
		service: 'scribe', events: fewEvents, eventMilliseconds: 50, promptMilliseconds: 2500,
	};
	await fleet.startWorker({id: 'scribe-1', ...options});
	const gateway = await fleet.startGateway('gateway-1');
	const answering = fleet.draft(gateway, {deadlineMilliseconds: 9000});
	await delay(300);
	for (const id of ['scribe-2', 'scribe-3']) {
		const engine = await fleet.startWorker({id, ...options});
		engine.fault = 'full';
	}

	const answer = await answering;
	assert.equal(answer.status, 200);
	assert.deepEqual(eventsOf(answer.body), expectedEvents(fewEvents));
	assert.ok(answer.whole);
});

const deadlineMilliseconds = 9000;

/** Returns the status of a generation, and whether its caller got it long before the deadline. */
async function draftWithDeadline(fleet: GatewayFleet, gateway: GatewayProcess) {
	const sentAt = performance.now();
	const {status} = await fleet.draft(gateway, {deadlineMilliseconds});
	return {status, isEarly: performance.now() - sentAt < deadlineMilliseconds / 2};
}

// The review of a change saw these wait until their deadline.
test('a generation whose engines answer errors gets one at once where the retry budget refuses more', async () => {
	await using fleet = await GatewayFleet.create();
	for (const id of ['scribe-1', 'scribe-2', 'scribe-3']) {
		const engine = await fleet.startWorker({id, service: 'scribe'});
		engine.fault = 'error';
	}

	const gateway = await fleet.startGateway('gateway-1', {retryRatio: 0.1, retrySlack: 0, retryWindowSeconds: 10});
	assert.deepEqual(await draftWithDeadline(fleet, gateway), {status: 500, isEarly: true});
});

test('a generation whose engine answers an error ends at once where the other engine asks to back off', async () => {
	await using fleet = await GatewayFleet.create();
	const [failing, other] = await Promise.all(['scribe-1', 'scribe-2'].map(async id => fleet.startWorker({id, service: 'scribe'})));
	failing!.fault = 'error';
	other!.backoffSeconds = 5;
	const gateway = await fleet.startGateway('gateway-1');
	const {status, isEarly} = await draftWithDeadline(fleet, gateway);
	assert.ok(status >= 500);
	assert.ok(isEarly);
});
