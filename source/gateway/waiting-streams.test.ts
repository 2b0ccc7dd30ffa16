import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet, type GatewayProcess} from '../testing/gateway-fleet.ts';
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
