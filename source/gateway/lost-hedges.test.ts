import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet, type CallerRequest, type GatewayProcess} from '../testing/gateway-fleet.ts';
import {sendSteadyLoad} from '../testing/steady-load.ts';
import {type WorkerStandIn} from '../testing/stand-ins/worker-stand-in.ts';

const status: CallerRequest = {path: '/status/1'};

/** Time of a call at a sound endpoint, in milliseconds: one at a slow endpoint takes eight times as long, and a call is hedged after 60 ms. */
const callMilliseconds = 12;

/** Least share of the calls that a sound one of two endpoints gets. */
const soundShare = 0.25;

/** Largest share of the calls that one of two endpoints gets that does not answer in time. */
const lateShare = 0.1;

async function startPair(fleet: GatewayFleet): Promise<{gateway: GatewayProcess; workers: [WorkerStandIn, WorkerStandIn]}> {
	const workers = await Promise.all(['desk-1', 'desk-2'].map(async id => fleet.startWorker({id, service: 'desk', callMilliseconds}))) as [WorkerStandIn, WorkerStandIn];
	const gateway = await fleet.startGateway('gateway-1');
	return {gateway, workers};
}

/** Sends calls until each endpoint has answered some. */
async function useBoth(fleet: GatewayFleet, gateway: GatewayProcess, workers: readonly WorkerStandIn[]): Promise<void> {
	await fleet.until(async () => {
		await fleet.call(gateway, status);
		return workers.every(({runs}) => runs.length > 2);
	}, 'both endpoints are used');
}

/** Sends calls for two seconds; returns the share of them that reached the first endpoint. */
async function measureShare(fleet: GatewayFleet, workers: readonly WorkerStandIn[]): Promise<number> {
	const before = workers.map(({arrivals}) => arrivals.length);
	const results = await sendSteadyLoad(fleet, status, {rate: 30, forMilliseconds: 2000});
	assert.ok(results.every(({status: code}) => code === 200));
	const [first, second] = workers.map(({arrivals}, index) => arrivals.length - before[index]!) as [number, number];
	return first / (first + second);
}

for (const slow of [0, 1] as const) {
	test(`an endpoint that was ${slow === 0 ? 'slower than a hedge once' : 'hedged to once and aborted since the first one answered'} still gets its share of the calls`, async () => {
		await using fleet = await GatewayFleet.create();
		const {gateway, workers} = await startPair(fleet);
		const observed = slow === 0 ? workers : [workers[1], workers[0]];
		await useBoth(fleet, gateway, workers);
		const [late, other] = workers;
		const before = late.arrivals.length;
		late.fault = 'slow';
		other.fault = slow === 0 ? 'none' : 'mute';
		await fleet.until(async () => {
			await fleet.call(gateway, status);
			return late.arrivals.length > before;
		}, 'the slow endpoint gets a call');
		late.fault = 'none';
		other.fault = 'none';
		const share = await measureShare(fleet, observed);
		assert.ok(share >= soundShare, `a share of ${share}`);
	});
}

for (const fault of ['mute', 'slow'] as const) {
	test(`an endpoint that never answers before the hedge (${fault}) is avoided`, async () => {
		await using fleet = await GatewayFleet.create();
		const {gateway, workers} = await startPair(fleet);
		await useBoth(fleet, gateway, workers);
		workers[0].fault = fault;
		const share = await measureShare(fleet, workers);
		assert.ok(share <= lateShare, `a share of ${share}`);
	});
}
