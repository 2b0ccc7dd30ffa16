import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {disposeOnFailure} from '../testing/dispose-on-failure.ts';
import {GatewayFleet, type GatewayProcess} from '../testing/gateway-fleet.ts';
import {type StoreCopy} from '../testing/stand-ins/store-stand-in.ts';

/** Time within which gateways must follow a change that the store has acknowledged, in milliseconds: the users' `drainMs` and `configApplyMs`. */
const changeMilliseconds = 2000;

/** Time for which the store is away, in milliseconds. */
const awayMilliseconds = 500;

/** The store is away for a moment and comes back from a copy. */
async function restore({store}: GatewayFleet, copy: StoreCopy): Promise<void> {
	store.fault = 'reset';
	await delay(awayMilliseconds);
	store.restore(copy);
	store.fault = 'none';
}

/** Writes that only make the store's versions rise. */
function raiseVersions({store}: GatewayFleet, count: number): void {
	for (let index = 0; index < count; index += 1) {
		store.put('other', 'row', {index});
	}
}

async function createFleet(): Promise<{fleet: GatewayFleet; gateways: GatewayProcess[]}> {
	const fleet = await GatewayFleet.create();
	return disposeOnFailure(fleet, async () => {
		await fleet.startWorker({id: 'desk-1', service: 'desk'});
		await fleet.startWorker({id: 'desk-2', service: 'desk'});
		const gateways = await Promise.all(['gateway-1', 'gateway-2', 'gateway-3'].map(async name => fleet.startGateway(name)));
		return {fleet, gateways};
	});
}

/** Number of requests, of some through each gateway, that reach a worker. */
async function countReaching(fleet: GatewayFleet, gateways: readonly GatewayProcess[], worker: string): Promise<number> {
	const {arrivals} = fleet.workers.get(worker)!;
	const before = arrivals.length;
	for (let index = 0; index < 8; index += 1) {
		await Promise.all(gateways.map(async gateway => fleet.call(gateway, {path: '/status/1'})));
	}

	return arrivals.length - before;
}

test('a worker that leaves after the store came back with older versions gets no more requests', async () => {
	const {fleet, gateways} = await createFleet();
	await using _fleet = fleet;
	const copy = fleet.store.copy();
	raiseVersions(fleet, 40);
	fleet.store.put('servers', 'desk-1', fleet.workers.get('desk-1')!.entry());
	fleet.store.put('servers', 'desk-2', {...fleet.workers.get('desk-2')!.entry(), sequence: 2});
	await delay(changeMilliseconds);
	await restore(fleet, copy);
	await delay(changeMilliseconds);
	fleet.store.put('servers', 'desk-2', fleet.workers.get('desk-2')!.entry('draining'));
	await delay(changeMilliseconds);
	assert.equal(await countReaching(fleet, gateways, 'desk-2'), 0);
});

test('a worker that leaves at a version of the store that is given out again gets no more requests', async () => {
	const {fleet, gateways} = await createFleet();
	await using _fleet = fleet;
	const copy = fleet.store.copy();
	raiseVersions(fleet, 5);
	await delay(changeMilliseconds);
	fleet.store.fault = 'reset';
	await delay(awayMilliseconds);
	fleet.store.restore(copy);
	fleet.store.put('servers', 'desk-2', fleet.workers.get('desk-2')!.entry('draining'));
	raiseVersions(fleet, 8);
	fleet.store.fault = 'none';
	await delay(changeMilliseconds);
	assert.equal(await countReaching(fleet, gateways, 'desk-2'), 0);
});

test('a worker that was gone before the store came back with its entry gets no requests until it writes again', async () => {
	const {fleet, gateways} = await createFleet();
	await using _fleet = fleet;
	const copy = fleet.store.copy();
	fleet.store.remove('servers', 'desk-2');
	await delay(changeMilliseconds);
	await restore(fleet, copy);
	await delay(changeMilliseconds);
	assert.equal(await countReaching(fleet, gateways, 'desk-2'), 0);
	fleet.store.put('servers', 'desk-2', {...fleet.workers.get('desk-2')!.entry(), sequence: 2});
	await delay(changeMilliseconds);
	assert.ok(await countReaching(fleet, gateways, 'desk-2') > 0);
});

test('a configuration stays in force when the store comes back with an older one, and a key that was taken away stays away', async () => {
	const {fleet, gateways} = await createFleet();
	await using _fleet = fleet;
	const copy = fleet.store.copy();
	fleet.configure({version: 3, keys: ['key-2']});
	await delay(changeMilliseconds);
	await restore(fleet, copy);
	await delay(changeMilliseconds);
	for (const gateway of gateways) {
		const [taken, kept] = await Promise.all([fleet.call(gateway, {path: '/status/1'}), fleet.call(gateway, {path: '/status/1', key: 'key-2'})]);
		assert.deepEqual([taken.status, kept.status], [401, 200]);
	}

	fleet.configure({version: 4, keys: ['key-4']});
	await delay(changeMilliseconds);
	for (const gateway of gateways) {
		const [taken, kept] = await Promise.all([fleet.call(gateway, {path: '/status/1', key: 'key-2'}), fleet.call(gateway, {path: '/status/1', key: 'key-4'})]);
		assert.deepEqual([taken.status, kept.status], [401, 200]);
	}
});

test('a gateway that starts after the store came back finds the others, although their registrations were lost', async () => {
	const fleet = await GatewayFleet.create();
	await using _fleet = fleet;
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const copy = fleet.store.copy();
	const first = await fleet.startGateway('gateway-1');
	await delay(changeMilliseconds);
	await restore(fleet, copy);
	await delay(changeMilliseconds);
	await fleet.startGateway('gateway-2');
	await fleet.until(async () => {
		const {body} = await fleet.get(first.entries, '/api/resolve?name=desk.example&region=home&zone=zone-a');
		return body.split(':').length > 4;
	}, 'gateway-1 names both gateways');
});

test('a seed that starts after the store came back with an older configuration refuses a key that was taken away', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.seedNames.push('gateway-1', 'gateway-2');
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const [restarted] = await Promise.all(['gateway-1', 'gateway-2'].map(async name => fleet.startGateway(name)));
	const copy = fleet.store.copy();
	fleet.configure({version: 3, keys: ['key-2']});
	await delay(changeMilliseconds);
	await fleet.killGateway(restarted!);
	await restore(fleet, copy);
	const gateway = await fleet.startGateway('gateway-1');
	const [taken, kept] = await Promise.all([fleet.call(gateway, {path: '/status/1'}), fleet.call(gateway, {path: '/status/1', key: 'key-2'})]);
	assert.deepEqual([taken.status, kept.status], [401, 200]);
});
