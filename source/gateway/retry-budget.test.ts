import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet} from '../testing/gateway-fleet.ts';
import {type WorkerArrival} from '../testing/stand-ins/worker-options.ts';

/** Budget of all gateways together: a small one, so that few requests reach its bound. */
const bounds = {retryRatio: 0.8, retrySlack: 20, retryWindowSeconds: 10};

/** Endpoints of the service; each request may be refused by all of them. */
const endpoints = 8;

/** Starts a fleet whose endpoints refuse each request, and record what reaches them. */
async function createRefusingFleet(): Promise<{fleet: GatewayFleet; arrivals: WorkerArrival[]}> {
	const fleet = await GatewayFleet.create();
	const arrivals: WorkerArrival[] = [];
	for (let index = 1; index <= endpoints; index += 1) {
		const worker = await fleet.startWorker({id: `desk-${index}`, service: 'desk', arrivals});
		worker.fault = 'full';
	}

	return {fleet, arrivals};
}

test('each decision on a retry is logged with its inputs and counted', async () => {
	const {fleet} = await createRefusingFleet();
	await using _fleet = fleet;
	const gateway = await fleet.startGateway('gateway-1', {...bounds, retrySlack: 2, retryRatio: 0});
	await fleet.call(gateway, {path: '/status/1', attempt: 'attempt-explained'});
	await fleet.until(() => gateway.log.join('').includes('retry refused by the budget'), 'the refusal is logged');
	const lines = gateway.log.join('').split('\n').filter(line => line.includes('by the budget')).map(line => JSON.parse(line) as Record<string, unknown>);
	assert.ok(lines.every(({request, service, reason, requests}) => request === 'attempt-explained' && service === 'desk' && reason === 'not-run' && requests === 1));
	const metrics = await fleet.get(gateway.metrics, '/metrics');
	assert.match(metrics.body, /azuretack_gateway_retries_total\{service="desk",reason="not-run",decision="refused"\} 1/v);
});
