import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {EngineClient, type EngineLoad} from '../endpoints/mod.ts';
import {Fleet, workspacesFile} from '../testing/fleet.ts';
import {type Lease} from './mod.ts';

const duties = {
	leaseMilliseconds: 900, lookMilliseconds: 200, longestOrderMilliseconds: 1500, reconcileMilliseconds: 150, settleMilliseconds: 300,
};

type EngineState = {models: EngineLoad['models']; fencingNumber: number};

async function publishVersion(fleet: Fleet, version: string, enginesCheckFencing: boolean): Promise<void> {
	const published = await fleet.publish({
		'briefs.service.jsonc': {
			service: 'briefs', kind: 'model', model: {name: 'model', version, adapter: 'letters'}, enginesCheckFencing,
		},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
}

async function start(fleet: Fleet, checksFencing: boolean): Promise<void> {
	await fleet.startEngine('engine-1', 'briefs', {checksFencing, lagMilliseconds: 100});
	await fleet.startEngine('engine-2', 'briefs', {checksFencing, lagMilliseconds: 100});
	const links = ['router-1', 'router-2'].map(name => ({name, listen: fleet.allocate(), target: fleet.process('platform').address}));
	await fleet.startStandIn('proxy', 'proxy', {links});
	for (const {name, listen} of links) {
		fleet.platformAddress = listen;
		await fleet.startRouter(name, {duties, platform: {timeoutMilliseconds: 300}});
	}

	await fleet.publishHosts();
	await publishVersion(fleet, 'v1', checksFencing);
	await fleet.waitUntilReady();
}

async function leaseOf(fleet: Fleet): Promise<Lease | undefined> {
	const {rows} = await fleet.control<{rows: Array<{value: Lease}>}>('platform', '/control/rows?table=lease');
	return rows[0]?.value;
}

const routerOf = (lease: Lease) => lease.holder.split('.')[0]!;

const stateOf = async (fleet: Fleet, engine: string) => fleet.control<EngineState>(engine, '/control/state');

async function serves(fleet: Fleet, version: string): Promise<boolean> {
	const states = await Promise.all(['engine-1', 'engine-2'].map(async engine => stateOf(fleet, engine)));
	return states.every(({models}) => JSON.stringify(models) === JSON.stringify([{model: 'model', version, adapters: ['letters']}]));
}

const untilServed = async (fleet: Fleet, version: string) => fleet.until(async () => serves(fleet, version), `both engines serve ${version}`);

/** Sends an order of an earlier holder, as if it had been delayed until now. */
async function sendLateOrder(fleet: Fleet, fencingNumber: number): Promise<boolean> {
	const client = new EngineClient();
	const ordered = await client.order(fleet.process('engine-1').address, {fencing_number: fencingNumber, models: [{model: 'model', version: 'v1', adapters: []}]});
	await client.close();
	return ordered.isOk();
}

for (const checksFencing of [true, false]) {
	const kind = checksFencing ? 'engines that check the fencing number' : 'engines that do not check it';

	test(`a paused holder is replaced and sends no orders after it resumes, with ${kind}`, async () => {
		await using fleet = await Fleet.create();
		await start(fleet, checksFencing);
		await untilServed(fleet, 'v1');
		const first = await leaseOf(fleet);
		const [holder, other] = routerOf(first!) === 'router-1' ? ['router-1', 'router-2'] : ['router-2', 'router-1'];
		fleet.signal(holder, 'SIGSTOP');
		const pausedAt = performance.now();
		await publishVersion(fleet, 'v2', checksFencing);
		await untilServed(fleet, 'v2');
		const second = await leaseOf(fleet);
		assert.equal(routerOf(second!), other);
		assert.equal(second!.fencingNumber, first!.fencingNumber + 1);
		const waited = performance.now() - pausedAt;
		assert.ok(checksFencing || waited >= duties.longestOrderMilliseconds, `ordered ${waited} ms after the pause`);
		const logged = fleet.process(holder).log.length;
		// Without a connection it receives neither the new configuration nor the new lease, so only its own clock can stop it.
		await fleet.control('proxy', '/control/fault', {link: holder, mode: 'cut'});
		fleet.signal(holder, 'SIGCONT');
		await delay(8 * duties.reconcileMilliseconds);
		assert.equal(await serves(fleet, 'v2'), true);
		assert.doesNotMatch(fleet.process(holder).log.slice(logged).join(''), /engine ordered/v);
	});

	test(`a delayed order of an earlier holder is ${checksFencing ? 'refused' : 'corrected'} with ${kind}`, async () => {
		await using fleet = await Fleet.create();
		await start(fleet, checksFencing);
		await untilServed(fleet, 'v1');
		const first = await leaseOf(fleet);
		fleet.signal(routerOf(first!), 'SIGKILL');
		await publishVersion(fleet, 'v2', checksFencing);
		await untilServed(fleet, 'v2');
		assert.equal(await sendLateOrder(fleet, first!.fencingNumber), !checksFencing);
		assert.equal(await serves(fleet, 'v2'), checksFencing);
		await untilServed(fleet, 'v2');
	});
}

test('a holder remains the holder when the answers to its renewals are lost', async () => {
	await using fleet = await Fleet.create();
	await start(fleet, true);
	await untilServed(fleet, 'v1');
	const first = await leaseOf(fleet);
	const tokens = new Set<string>();
	await fleet.control('platform', '/control/fault', {mode: 'lose_answers', paths: ['/table/transact']});
	await fleet.until(async () => {
		const lease = await leaseOf(fleet);
		tokens.add(lease!.token);
		return tokens.size > 6;
	}, 'the lease is renewed six times');
	await fleet.control('platform', '/control/fault', {mode: 'up'});
	const last = await leaseOf(fleet);
	assert.deepEqual([last!.holder, last!.fencingNumber], [first!.holder, first!.fencingNumber]);
});

test('while the store is down the holder sends no orders, and it sends them again once the store recovers', async () => {
	await using fleet = await Fleet.create();
	await start(fleet, false);
	await untilServed(fleet, 'v1');
	await fleet.control('platform', '/control/fault', {mode: 'down', paths: ['/table/']});
	await delay(duties.leaseMilliseconds);
	const {fencingNumber} = await stateOf(fleet, 'engine-1');
	await sendLateOrder(fleet, fencingNumber);
	await delay(5 * duties.reconcileMilliseconds);
	assert.equal(await serves(fleet, 'v1'), false);
	await fleet.control('platform', '/control/fault', {mode: 'up'});
	await untilServed(fleet, 'v1');
});
