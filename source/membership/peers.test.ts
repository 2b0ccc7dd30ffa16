import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	Client, Metadata, credentials, status,
} from '@grpc/grpc-js';
import {request} from 'undici';
import {complete} from '../client/mod.ts';
import {Fleet, testKey, workspacesFile} from '../testing/fleet.ts';
import {exchangeMethod, peerKeyField, type PeerMessageParts} from './peer-protocol.ts';

const peers = {heartbeatMilliseconds: 200};

type Status = {configurationVersion: number; ready: boolean; peers: Array<{hostName: string}>; leaving: boolean};

type RouterOptions = {zone?: string; peers?: Record<string, unknown>; behindProxy?: boolean};

/** Starts engines and routers; routers behind the proxy connect to the platform through the link `platform`, and peers connect to them through `peers NAME`. */
async function createFleet(routers: Record<string, RouterOptions>, platformOptions = {}): Promise<Fleet> {
	const fleet = await Fleet.create(platformOptions);
	await fleet.startEngine('engine-1', 'briefs');
	await fleet.startEngine('engine-2', 'briefs');
	const links = [{name: 'platform', listen: fleet.allocate(), target: fleet.process('platform').address}];
	for (const [name, place] of Object.entries(routers)) {
		fleet.platformAddress = place.behindProxy ? links[0]!.listen : undefined;
		await fleet.startRouter(name, {peers: {...peers, ...place.peers}}, place.zone);
		if (place.behindProxy) {
			const host = fleet.hosts.get(name)!;
			const listen = fleet.allocate();
			links.push({name: `peers ${name}`, listen, target: host.entry!.peers});
			fleet.addHost({...host, entry: {...host.entry!, peers: listen}});
		}
	}

	await fleet.startStandIn('proxy', 'proxy', {links});
	await fleet.publishHosts();
	await publish(fleet, 'v1');
	await fleet.waitUntilReady();
	await fleet.until(async () => {
		const states = await Promise.all(Object.keys(routers).map(async name => statusOf(fleet, name)));
		return states.every(state => state.peers.length > 0);
	}, 'every router has a peer');
	return fleet;
}

async function publish(fleet: Fleet, version: string): Promise<void> {
	const published = await fleet.publish({
		'briefs.service.jsonc': {service: 'briefs', kind: 'model', model: {name: 'model', version}},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
}

async function statusOf(fleet: Fleet, name: string): Promise<Status> {
	return fleet.operator<Status>(name, '/status');
}

async function versionOf(fleet: Fleet, name: string): Promise<number> {
	const {configurationVersion} = await statusOf(fleet, name);
	return configurationVersion;
}

async function entriesOf(fleet: Fleet, name: string): Promise<string[]> {
	const response = await request(`http://${fleet.process(name).address}/v1/entries`);
	const body = await response.body.json() as {entries: Array<{address: string}>};
	return body.entries.map(({address}) => address);
}

async function untilListed(fleet: Fleet, queried: string[], host: string, listed: boolean): Promise<void> {
	for (const name of queried) {
		await fleet.until(async () => {
			const entries = await entriesOf(fleet, name);
			return entries.includes(fleet.hosts.get(host)!.entry!.callers) === listed;
		}, `${name} lists ${host}: ${listed}`);
	}
}

async function untilLogged(fleet: Fleet, name: string, text: string): Promise<void> {
	await fleet.until(() => fleet.process(name).log.join('').includes(text), `${name} logs ${text}`);
}

async function linkFault(fleet: Fleet, link: string, mode: string): Promise<void> {
	await fleet.control('proxy', '/control/fault', {link, mode});
}

/** Connects to router-1 as a peer and sends messages; returns the status code that ended the connection. */
async function connectAsPeer(fleet: Fleet, {key, messages, until}: {key: string; messages: PeerMessageParts[]; until: (hasEnded: () => boolean) => Promise<void>}): Promise<number> {
	const client = new Client(fleet.hosts.get('router-1')!.entry!.peers, credentials.createInsecure());
	const metadata = new Metadata();
	metadata.set(peerKeyField, key);
	const stream = client.makeBidiStreamRequest(exchangeMethod.path, exchangeMethod.requestSerialize, exchangeMethod.responseDeserialize, metadata);
	stream.on('data', () => undefined);
	let code: number | undefined;
	const ended = new Promise<number>(resolve => {
		stream.on('error', (error: {code: number}) => {
			code = error.code;
			resolve(code);
		});
	});
	for (const message of messages) {
		stream.write(message);
	}

	await until(() => code !== undefined);
	stream.cancel();
	const endCode = await ended;
	client.close();
	return endCode;
}

test('a router cut off from the table receives a new configuration version from its peers', async () => {
	await using fleet = await createFleet({'router-1': {}, 'router-2': {behindProxy: true}, 'router-3': {zone: 'zone-b', behindProxy: true}});
	await linkFault(fleet, 'platform', 'cut');
	await publish(fleet, 'v2');
	for (const name of ['router-1', 'router-2', 'router-3']) {
		await fleet.until(async () => await versionOf(fleet, name) === 2, `${name} has version 2`);
	}
});

test('a new router starts from a seed and serves requests while the platform is down', async () => {
	await using fleet = await createFleet({'router-1': {}, 'router-2': {}});
	await fleet.control('platform', '/control/fault', {mode: 'down'});
	await fleet.startRouter('router-3', {peers: {...peers, seeds: [fleet.hosts.get('router-1')!.entry!.peers]}});
	await fleet.waitUntilReady(['router-3']);
	const answer = await complete({
		entries: fleet.only('router-3'), key: testKey, request: {model: 'briefs', prompt: 'Clans', max_tokens: 5},
	});
	assert.equal(answer._unsafeUnwrap().tokens, 5);
});

test('a peer that was paused during two publications updates to the newest version and does not revert others', async () => {
	await using fleet = await createFleet({'router-1': {}, 'router-2': {behindProxy: true}});
	fleet.signal('router-2', 'SIGSTOP');
	await publish(fleet, 'v2');
	await publish(fleet, 'v3');
	await fleet.until(async () => await versionOf(fleet, 'router-1') === 3, 'router-1 has version 3');
	await linkFault(fleet, 'platform', 'cut');
	fleet.signal('router-2', 'SIGCONT');
	await fleet.until(async () => {
		assert.equal(await versionOf(fleet, 'router-1'), 3);
		return await versionOf(fleet, 'router-2') === 3;
	}, 'router-2 has version 3');
});

test('a lower version from a stale peer is ignored, and a peer without the key is refused', async () => {
	await using fleet = await createFleet({'router-1': {}, 'router-2': {}});
	await publish(fleet, 'v2');
	await fleet.until(async () => await versionOf(fleet, 'router-1') === 2, 'router-1 has version 2');
	const hello = {hostName: 'router-9', incarnation: 'router-9.1', availabilityZone: 'zone-a'};
	const messages = [
		{hello, configurationVersion: 1},
		{
			configurationVersion: 1,
			hints: [{
				kind: 'host', key: 'router-2', stamp: Date.now() + 1000, value: 'leaving',
			}],
			difference: {
				baseVersion: 0, version: 1, digest: '', services: [], workspaces: [], removedServices: [], removedWorkspaces: [],
			},
		},
	];
	const refused = await connectAsPeer(fleet, {
		key: 'not-the-key-of-the-peers',
		messages,
		async until(hasEnded) {
			// The router must end the connection itself; it may write the log line before it sends its response.
			await untilLogged(fleet, 'router-1', 'peer refused');
			await fleet.until(hasEnded, 'the router ends the connection');
		},
	});
	assert.equal(refused, status.UNAUTHENTICATED);
	const {peers: open} = await statusOf(fleet, 'router-1');
	assert.equal(open.some(peer => peer.hostName === 'router-9'), false);
	await untilListed(fleet, ['router-1'], 'router-2', true);
	await connectAsPeer(fleet, {
		key: 'peer-key-of-the-tests', messages, until: async () => untilLogged(fleet, 'router-1', '"host":"router-2","state":"leaving"'),
	});
	const {configurationVersion, ready} = await statusOf(fleet, 'router-1');
	assert.deepEqual({configurationVersion, ready}, {configurationVersion: 2, ready: true});
	await untilListed(fleet, ['router-1', 'router-2'], 'router-2', true);
});

test('a leaving hint propagates over several hops before the host list shows it, and so does a restart', async () => {
	const near = {peers: {sameZone: 0, otherZones: 1}};
	const names = ['router-1', 'router-2', 'router-3', 'router-4', 'router-5', 'router-6'];
	await using fleet = await createFleet(Object.fromEntries(names.map((name, index) => [name, {...near, zone: `zone-${index % 3}`}])), {hostListLagMilliseconds: 0});
	await untilListed(fleet, names, 'router-1', true);
	fleet.signal('router-1', 'SIGTERM');
	await untilListed(fleet, names.slice(1), 'router-1', false);
	assert.equal(await fleet.ended('router-1'), 0);
	await untilListed(fleet, names.slice(1), 'router-1', false);
	await fleet.restartRouter('router-1');
	await untilListed(fleet, names, 'router-1', true);
});

test('endpoints of a leaving host receive no new work from a router whose host list lags', async () => {
	await using fleet = await createFleet({'router-1': {}, 'router-2': {behindProxy: true}});
	await linkFault(fleet, 'platform', 'silent');
	const generationsOf = async () => {
		const {generations} = await fleet.control<{generations: number}>('engine-1', '/control/work');
		return generations;
	};

	const callAtRouter2 = async () => complete({
		entries: fleet.only('router-2'), key: testKey, request: {model: 'briefs', prompt: 'Clans', max_tokens: 2},
	});
	fleet.addHost({...fleet.hosts.get('engine-1')!, state: 'leaving'});
	await fleet.publishHosts();
	await untilLogged(fleet, 'router-2', '"host":"engine-1","state":"leaving"');
	const before = await generationsOf();
	for (let call = 0; call < 10; call += 1) {
		const answer = await callAtRouter2();
		assert.ok(answer.isOk());
	}

	assert.equal(await generationsOf(), before);
	fleet.addHost({...fleet.hosts.get('engine-1')!, state: 'live'});
	await fleet.publishHosts();
	await fleet.until(async () => {
		await Promise.all([callAtRouter2(), callAtRouter2()]);
		return await generationsOf() > before;
	}, 'engine-1 receives work again once it is live');
});

test('a peer connection that stays silent is replaced by a new one', async () => {
	await using fleet = await createFleet({'router-1': {}, 'router-2': {behindProxy: true}});
	const accepted = async () => {
		const connections = await fleet.control<Record<string, {accepted: number}>>('proxy', '/control/connections');
		return connections['peers router-2']!.accepted;
	};

	const before = await accepted();
	await linkFault(fleet, 'platform', 'cut');
	await linkFault(fleet, 'peers router-2', 'silent_existing');
	await publish(fleet, 'v2');
	await fleet.until(async () => await versionOf(fleet, 'router-2') === 2, 'router-2 has version 2');
	assert.ok(await accepted() > before);
});

test('an empty host list does not remove the known hosts', async () => {
	await using fleet = await createFleet({'router-1': {}, 'router-2': {}});
	const reads = async () => {
		const counts = await fleet.control<Record<string, number>>('platform', '/control/counts');
		return counts['/hosts']!;
	};

	await fleet.control('platform', '/control/hosts', {hosts: []});
	const before = await reads();
	await fleet.until(async () => await reads() > before + 10, 'the empty list was read by both routers');
	const entries = await entriesOf(fleet, 'router-1');
	assert.equal(entries.length, 2);
	const answer = await complete({
		entries: fleet.only('router-1'), key: testKey, request: {model: 'briefs', prompt: 'Clans', max_tokens: 5},
	});
	assert.equal(answer._unsafeUnwrap().tokens, 5);
});
