import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet, type GatewayProcess} from '../testing/gateway-fleet.ts';
import {findRetryExcess} from '../testing/retry-excess.ts';
import {type WorkerArrival} from '../testing/stand-ins/worker-options.ts';

/** Retry budget of all gateways together, small enough that few requests exhaust it. */
const bounds = {retryRatio: 0.8, retrySlack: 20, retryWindowSeconds: 10};

/** Number of endpoints of the service; each request may be refused by all of them. */
const endpoints = 8;

/** Duration of the suspension, in milliseconds; longer than the timeout after which gateways consider each other gone. */
const suspendedMilliseconds = 6000;

/** Starts a fleet whose endpoints refuse each request and record its arrival. */
async function createRefusingFleet(): Promise<{fleet: GatewayFleet; arrivals: WorkerArrival[]}> {
	const fleet = await GatewayFleet.create();
	const arrivals: WorkerArrival[] = [];
	for (let index = 1; index <= endpoints; index += 1) {
		const worker = await fleet.startWorker({id: `desk-${index}`, service: 'desk', arrivals});
		worker.fault = 'full';
	}

	return {fleet, arrivals};
}

/** Sends concurrent idempotent calls to a gateway; returns the time at which each was sent. */
async function sendCalls(fleet: GatewayFleet, gateway: GatewayProcess, count: number): Promise<number[]> {
	return Promise.all(Array.from({length: count}, async (_unused, index) => {
		const sentAt = performance.now();
		const answer = await fleet.call(gateway, {path: `/status/${index}`});
		assert.equal(answer.status, 503);
		return sentAt;
	}));
}

/** Asserts that the retries in each window are within the budget for the requests sent. */
function assertWithinBudget(arrivals: readonly WorkerArrival[], sentAt: readonly number[]): void {
	const excess = findRetryExcess(arrivals, sentAt, {ratio: bounds.retryRatio, slack: bounds.retrySlack, windowMilliseconds: bounds.retryWindowSeconds * 1000});
	assert.equal(excess, undefined, `${excess?.retries} retries within a window, ${excess?.allowed} are allowed`);
}

test('gateways that start together do not each spend the slack of the retry budget', async () => {
	const {fleet, arrivals} = await createRefusingFleet();
	await using _fleet = fleet;
	const gateways = await Promise.all(Array.from({length: 6}, async (_unused, index) => fleet.startGateway(`gateway-${index + 1}`, bounds)));
	const sentAt = await Promise.all(gateways.map(async gateway => sendCalls(fleet, gateway, 4)));
	assertWithinBudget(arrivals, sentAt.flat());
});

test('a gateway that is killed and restarted within a window does not spend the slack of the retry budget again', async () => {
	const {fleet, arrivals} = await createRefusingFleet();
	await using _fleet = fleet;
	const sentAt: number[] = [];
	for (let start = 0; start < 4; start += 1) {
		const gateway = await fleet.startGateway('gateway-1', bounds);
		sentAt.push(...await sendCalls(fleet, gateway, 4));
		await fleet.killGateway(gateway);
	}

	assertWithinBudget(arrivals, sentAt);
});

test('gateways that were suspended together do not each spend the slack of the retry budget', async () => {
	const {fleet, arrivals} = await createRefusingFleet();
	await using _fleet = fleet;
	const gateways = await Promise.all(Array.from({length: 6}, async (_unused, index) => fleet.startGateway(`gateway-${index + 1}`, bounds)));
	for (const {child} of gateways) {
		child.kill('SIGSTOP');
	}

	await delay(suspendedMilliseconds);
	const sending = gateways.map(async gateway => sendCalls(fleet, gateway, 4));
	for (const {child} of gateways) {
		child.kill('SIGCONT');
	}

	const sentAt = await Promise.all(sending);
	assertWithinBudget(arrivals, sentAt.flat());
});

test('each decision on a retry is logged with its inputs and counted', async () => {
	const {fleet} = await createRefusingFleet();
	await using _fleet = fleet;
	const gateway = await fleet.startGateway('gateway-1', {...bounds, retrySlack: 2, retryRatio: 0});
	// A call that may run once is never hedged, however late its attempts are.
	await fleet.call(gateway, {path: '/deposits/1', method: 'POST', attempt: 'attempt-explained'});
	await fleet.until(() => gateway.log.join('').includes('retry refused by the budget'), 'the refusal is logged');
	const lines = gateway.log.join('').split('\n').filter(line => line.includes('by the budget')).map(line => JSON.parse(line) as Record<string, unknown>);
	assert.ok(lines.every(({request, service, reason, requests}) => request === 'attempt-explained' && service === 'desk' && reason === 'not-run' && requests === 1));
	const metrics = await fleet.get(gateway.metrics, '/metrics');
	assert.match(metrics.body, /azuretack_gateway_retries_total\{service="desk",reason="not-run",decision="refused"\} 1/v);
});
