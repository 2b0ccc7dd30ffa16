import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	GatewayFleet, eventsOf, expectedEvents, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {findRetryExcess} from '../testing/retry-excess.ts';
import {type WorkerArrival} from '../testing/stand-ins/worker-options.ts';

const events = 100;

const eventMilliseconds = 20;

/** Time for which streams run before their engine crashes, in milliseconds; an engine that crashes after so many events is not held against the request. */
const runMilliseconds = 1000;

/** Number of streams that lose their engine at the same moment. */
const streams = 3;

/** Other gateways, and the generations that each has received before. */
const lenders = 3;

const generationsEach = 3;

/** Longest time that a caller waits for its whole stream, in milliseconds; its deadline is later. */
const patienceMilliseconds = 6000;

const bounds = {
	retryRatio: 0.8, retrySlack: 300, retryWindowSeconds: 10, configurationMilliseconds: 20_000, revokedKeyMilliseconds: 20_000,
};

/** Number of gateways that a gateway has borrowed retries from. */
function countLoans({log}: GatewayProcess): number {
	return log.join('').split('\n').filter(line => line.includes('retries borrowed from gateways')).length;
}

// Each stream was refused by the budget once a second until its caller left: its gateway had received too few requests of its own.
test('streams whose engine crashes while the store is silent go on at once with retries of other gateways', async () => {
	await using fleet = await GatewayFleet.create();
	const arrivals: WorkerArrival[] = [];
	const sentAt: number[] = [];
	const draft = async (gateway: GatewayProcess) => {
		sentAt.push(performance.now());
		return fleet.draft(gateway, {deadlineMilliseconds: 9000, signal: AbortSignal.timeout(patienceMilliseconds)});
	};

	const first = await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', events, eventMilliseconds, arrivals,
	});
	fleet.seedNames.push('gateway-1');
	const gateways = await Promise.all(Array.from({length: lenders + 1}, async (_unused, index) => fleet.startGateway(`gateway-${index + 1}`, bounds)));
	const borrower = gateways[0]!;
	await Promise.all(gateways.slice(1).flatMap(gateway => Array.from({length: generationsEach}, async () => draft(gateway))));
	const answers = Array.from({length: streams}, async () => draft(borrower));
	await fleet.until(() => first.runs.filter(({endedAt}) => endedAt === undefined).length === streams, 'the streams run at the first engine');
	await fleet.startWorker({
		id: 'scribe-2', service: 'scribe', events, eventMilliseconds, arrivals,
	});
	await delay(runMilliseconds);
	fleet.store.fault = 'silent';
	first.crash();
	for (const {status, body, whole} of await Promise.all(answers)) {
		assert.equal(status, 200);
		assert.ok(whole);
		assert.deepEqual(eventsOf(body), expectedEvents(events));
	}

	assert.ok(countLoans(borrower) > 0);
	assert.equal(findRetryExcess(arrivals, sentAt, {ratio: bounds.retryRatio, slack: 0, windowMilliseconds: bounds.retryWindowSeconds * 1000}), undefined);
});
