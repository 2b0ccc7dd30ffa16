import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet, routeHost} from '../testing/gateway-fleet.ts';

/** Routes whose requests may wait for as long as a start takes on a slow machine. */
const patientRoutes = [
	{
		name: 'deposit', host: routeHost, prefix: '/deposits/', kind: 'non_idempotent', timeoutMs: 60_000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 1,
	},
	{
		name: 'status', host: routeHost, prefix: '/status/', kind: 'idempotent', timeoutMs: 60_000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 2,
	},
	{
		name: 'draft', host: routeHost, prefix: '/drafts/', kind: 'stream', timeoutMs: 60_000, targetLatencyMs: 1000, priority: 1, service: 'scribe', maxAttempts: 5, resumable: true, gapAimMs: 700, stickySessions: true,
	},
];

const names = ['gateway-1', 'gateway-2', 'gateway-3', 'gateway-4'];

test('requests that reach a fleet that was killed whole, and starts again while the store is away, are served once it is back', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({version: 2, routes: patientRoutes});
	const desk = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
	fleet.seedNames.push('gateway-1', 'gateway-2');
	Object.assign(fleet.settings, {contracts: ['pool'], start: {heldRequests: 4, heldBytes: 1_000_000, heldMilliseconds: 60_000}});
	const before = await Promise.all(names.map(async name => fleet.startGateway(name)));
	await Promise.all(before.map(async gateway => fleet.killGateway(gateway)));
	fleet.store.fault = 'silent';
	const starting = names.map(async name => fleet.startGateway(name));
	await fleet.until(() => names.every(name => fleet.gateways.has(name)), 'the processes are started');
	const gateways = names.map(name => fleet.gateways.get(name)!);
	for (const gateway of gateways) {
		await fleet.until(async () => {
			const {status} = await fleet.get(gateway.readiness, '/api/ready');
			return status === 503;
		}, `${gateway.name} runs and is not ready`);
	}

	const patient = {deadlineMilliseconds: 120_000};
	const answering = gateways.flatMap(gateway => [
		fleet.call(gateway, {
			...patient, path: '/deposits/1', method: 'POST', body: 'a deposit',
		}),
		fleet.call(gateway, {...patient, path: '/status/1'}),
		fleet.draft(gateway, patient),
	]);
	const impatient = await fleet.call(gateways[0]!, {path: '/status/1', deadlineMilliseconds: 200});
	assert.equal(impatient.status, 503);
	assert.match(impatient.body, /"starting"/v);
	assert.ok(Number(impatient.headers['retry-after']) > 0);
	assert.equal(desk.runs.length, 0);
	fleet.store.fault = 'none';
	const answers = await Promise.all(answering);
	assert.deepEqual(answers.map(({status, whole}) => ({status, whole})), answers.map(() => ({status: 200, whole: true})));
	await Promise.all(starting);
});

test('requests beyond the number that a starting gateway holds are refused as not run, and the one that it holds is served', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({version: 2, routes: patientRoutes});
	const desk = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	Object.assign(fleet.settings, {contracts: ['pool'], start: {heldRequests: 1, heldBytes: 1_000_000, heldMilliseconds: 60_000}});
	fleet.store.fault = 'silent';
	const starting = fleet.startGateway('gateway-1');
	await fleet.until(() => fleet.gateways.has('gateway-1'), 'the process is started');
	const gateway = fleet.gateways.get('gateway-1')!;
	await fleet.until(async () => {
		const {status} = await fleet.get(gateway.readiness, '/api/ready');
		return status === 503;
	}, 'it runs and is not ready');
	const patient = {deadlineMilliseconds: 120_000, path: '/status/1'};
	const both = [fleet.call(gateway, patient), fleet.call(gateway, patient)];
	const first = await Promise.race(both);
	assert.equal(first.status, 503);
	assert.match(first.body, /"starting"/v);
	assert.equal(desk.runs.length, 0);
	fleet.store.fault = 'none';
	const answers = await Promise.all(both);
	assert.deepEqual(answers.filter(answer => answer !== first).map(({status}) => status), [200]);
	await starting;
});
