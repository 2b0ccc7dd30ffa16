import assert from 'node:assert/strict';
import {test} from 'node:test';
import {noFeatures} from '../settings/features.ts';
import {GatewaySubsets} from '../subsets/mod.ts';
import {sendCall} from '../testing/call.ts';
import {routeHost} from '../testing/gateway-fleet.ts';
import {InProcessGateway} from '../testing/in-process-gateway.ts';
import {type WorkerStandIn} from '../testing/stand-ins/worker-stand-in.ts';

const parts = {features: {...noFeatures, engineSubsets: true}};
let attempts = 0;

/** Sends a generation whose last prompt part is always the same, so that it prefers the same engines. */
async function generate(gateway: InProcessGateway): Promise<number> {
	attempts += 1;
	const {status} = await sendCall(gateway.address, {
		path: '/stream/1',
		method: 'POST',
		body: 'text',
		headers: {
			host: routeHost, 'x-azuretack-attempt-id': `attempt-${attempts}`, 'x-azuretack-deadline-ms': '3000', 'x-azuretack-token-counts': '8000,60', 'x-azuretack-prompt-prefix': 'aa:200,bb:7800',
		},
	});
	return status;
}

/** Sends calls of a kind, one after the other; returns their statuses. */
async function sendCalls(gateway: InProcessGateway, kind: 'idempotent' | 'non_idempotent', count: number): Promise<number[]> {
	const statuses: number[] = [];
	for (let sent = 0; sent < count; sent += 1) {
		attempts += 1;
		const headers = {host: routeHost, 'x-azuretack-attempt-id': `attempt-${attempts}`, 'x-azuretack-deadline-ms': '3000'};
		const {status} = await sendCall(gateway.address, {
			path: `/${kind}/1`, method: 'POST', body: 'text', headers,
		});
		statuses.push(status);
	}

	return statuses;
}

/** Number of runs beyond one for each call: a call that takes longer than half of its target is sent to a further endpoint. */
function hedgesAmong(endpoints: readonly WorkerStandIn[], calls: number): number {
	return endpoints.reduce((sum, {runs}) => sum + runs.length, 0) - calls;
}

async function startEngines(gateway: InProcessGateway): Promise<WorkerStandIn[]> {
	const engines: WorkerStandIn[] = [];
	for (let number = 1; number <= 8; number += 1) {
		engines.push(await gateway.startWorker({id: `scribe-${number}`, service: 'scribe', events: 3}));
	}

	return engines;
}

function askedAmong(engines: readonly WorkerStandIn[]): WorkerStandIn[] {
	return engines.filter(({reports}) => reports > 0);
}

test('a generation asks three engines while one of them is idle, always the same for its prompt', async () => {
	await using gateway = await InProcessGateway.start(parts);
	const engines = await startEngines(gateway);
	assert.equal(await generate(gateway), 200);
	const asked = askedAmong(engines);
	assert.equal(asked.length, 3);
	assert.equal(await generate(gateway), 200);
	assert.deepEqual(askedAmong(engines), asked);
});

test('a generation asks further engines where those that it prefers are busy', async () => {
	await using gateway = await InProcessGateway.start(parts);
	const engines = await startEngines(gateway);
	for (const {options: {id}} of engines) {
		for (let count = 0; count < 4; count += 1) {
			gateway.parts.loads.trackRequest(id, 9000);
		}
	}

	assert.equal(await generate(gateway), 200);
	assert.equal(askedAmong(engines).length, 6);
});

test('a generation is served by another engine when all that it prefers have crashed', async () => {
	await using gateway = await InProcessGateway.start(parts);
	const engines = await startEngines(gateway);
	assert.equal(await generate(gateway), 200);
	const preferred = askedAmong(engines);
	for (const engine of preferred) {
		engine.crash();
	}

	assert.equal(await generate(gateway), 200);
	const others = engines.filter(engine => !preferred.includes(engine));
	assert.ok(others.some(({runs}) => runs.length > 0));
});

test('a generation asks six engines where the deployment does not ask for subsets', async () => {
	await using gateway = await InProcessGateway.start();
	const engines = await startEngines(gateway);
	assert.equal(await generate(gateway), 200);
	assert.equal(askedAmong(engines).length, 6);
});

for (const kind of ['idempotent', 'non_idempotent'] as const) {
	test(`calls (${kind}) go to two of six endpoints, and to others when both have crashed`, async () => {
		const liveGateways = () => Array.from({length: 30}, (_unused, index) => `gateway-${index}`);
		await using gateway = await InProcessGateway.start({
			subsets: new GatewaySubsets({
				enabled: true, self: 'gateway-1', liveGateways, logger: {debug: () => undefined},
			}),
		});
		const endpoints: WorkerStandIn[] = [];
		for (let number = 1; number <= 6; number += 1) {
			endpoints.push(await gateway.startWorker({id: `desk-${number}`, service: 'desk'}));
		}

		const statuses = await sendCalls(gateway, kind, 20);
		assert.ok(statuses.every(status => status === 200));
		const used = endpoints.filter(({runs}) => runs.length > 0);
		assert.ok(used.length >= 2 && used.length <= 2 + hedgesAmong(endpoints, 20), `${used.length} endpoints were used`);
		for (const endpoint of used) {
			endpoint.crash();
		}

		const laterStatuses = await sendCalls(gateway, kind, 20);
		assert.ok(laterStatuses.every(status => status === 200));
		const later = endpoints.filter(endpoint => !used.includes(endpoint) && endpoint.runs.length > 0);
		assert.ok(later.length >= 2 && later.length <= 2 + hedgesAmong(endpoints, 40), `${later.length} other endpoints were used`);
	});
}
