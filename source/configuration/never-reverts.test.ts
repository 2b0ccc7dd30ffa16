import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	asking, createRouters, deskFile, platformOf, statusForKey, versionOn,
} from '../testing/configuration-fleet.ts';
import {workspacesFile, type Fleet} from '../testing/fleet.ts';
import {
	configurationTable, headKey, objectName, readHead, type ConfigurationHead,
} from './stored-configuration.ts';

const routers = ['router-1', 'router-2', 'router-3'];
const withdrawnKey = 'key-that-version-two-withdraws';
const keyInForce = 'key-that-version-two-admits';

test('a router without a configuration takes no callers', async () => {
	await using fleet = await createRouters(1);
	await fleet.until(async () => await statusForKey(fleet, 'router-1', keyInForce) === 503, 'the router refuses callers');
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: keyInForce}})}, asking);
	assert.equal(await statusForKey(fleet, 'router-1', keyInForce), 404);
});

test('a withdrawn key stays withdrawn on every router through a store outage and router restarts during it', async () => {
	await using fleet = await createRouters(3);
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: withdrawnKey}})}, asking);
	await fleet.waitUntilReady();
	assert.equal(await statusForKey(fleet, 'router-1', withdrawnKey), 404);
	const second = await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: keyInForce}})}, asking);
	assert.equal(second.output, 'accepted as 2, in force on 3 of 3\n');

	const seen = await watchWhile(async () => {
		for (const mode of ['down', 'slow', 'silent']) {
			await fleet.control('platform', '/control/fault', {mode, delayMilliseconds: 1500});
			fleet.signal('router-2', 'SIGKILL');
			await fleet.ended('router-2');
			await fleet.restartRouter('router-2');
			await fleet.until(async () => await statusForKey(fleet, 'router-2', withdrawnKey) > 0, 'the restarted router answers');
			await delay(500);
			assert.equal(await statusForKey(fleet, 'router-1', keyInForce), 404);
			assert.notEqual(await statusForKey(fleet, 'router-2', keyInForce), 401, 'a router without a configuration judges no key');
			await fleet.control('platform', '/control/fault', {mode: 'up'});
			await fleet.until(async () => await versionOn(fleet, 'router-2') === 2, 'the restarted router has the version in force');
		}
	}, async () => Promise.all(routers.map(async name => statusForKey(fleet, name, withdrawnKey))));
	assert.deepEqual([...seen].filter(status => ![0, 401, 503].includes(status)), []);
	assert.ok(seen.has(401));
});

test('a store that goes back to an older version moves no router back', async () => {
	await using fleet = await createRouters(1);
	const platform = platformOf(fleet);
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: withdrawnKey}})}, asking);
	const older = await readHead(platform);
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: keyInForce}})}, asking);
	await putHead(fleet, older._unsafeUnwrap().head);
	const reads = await headReads(fleet);
	await fleet.until(async () => await headReads(fleet) > reads + 3, 'the router has read the older head');
	assert.equal(await versionOn(fleet, 'router-1'), 2);
	assert.equal(await statusForKey(fleet, 'router-1', withdrawnKey), 401);
	await platform.close();
});

/** Reads values again and again while an action lasts; returns every value seen. */
async function watchWhile(action: () => Promise<void>, read: () => Promise<number[]>): Promise<Set<number>> {
	const ended = new AbortController();
	const seen = new Set<number>();
	const watch = async () => {
		while (!ended.signal.aborted) {
			for (const value of await read()) {
				seen.add(value);
			}

			await delay(20);
		}
	};

	const watched = watch();
	try {
		await action();
	} finally {
		ended.abort();
		await watched;
	}

	return seen;
}

/** A way in which version 2 cannot be read, and how a readable version follows. */
type UnreadableVersion = {write: (fleet: Fleet) => Promise<void>; heal: (fleet: Fleet, first: ConfigurationHead) => Promise<void>};

const unreadable: Record<string, UnreadableVersion> = {
	'a field of a newer program': {
		write: async fleet => putVersion(fleet, JSON.stringify({...deskFile(10), newerField: true})),
		heal: replaceDesk,
	},
	'an object that is not JSON': {
		write: async fleet => putVersion(fleet, '{"service": "desk",'),
		heal: replaceDesk,
	},
	'a missing object': {
		write: async fleet => putVersion(fleet, undefined),
		heal: replaceDesk,
	},
	'an index that is not JSON': {
		write: async fleet => putHead(fleet, {version: 2, index: await putObject(fleet, '{"files": ')}),
		heal: async (fleet, first) => putHead(fleet, {...first, version: 3}),
	},
	'a head of a newer program': {
		write: async fleet => putHead(fleet, {version: 2, newer: true}),
		heal: async (fleet, first) => putHead(fleet, first),
	},
};

for (const [name, {write, heal}] of Object.entries(unreadable)) {
	test(`a router that cannot read the version in force takes no callers until a readable one follows: ${name}`, async () => {
		await using fleet = await createRouters(1);
		const published = await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: keyInForce}})}, asking);
		assert.equal(published.code, 0, published.errors);
		assert.equal(await statusForKey(fleet, 'router-1', keyInForce), 404);
		const platform = platformOf(fleet);
		const first = await readHead(platform);
		await write(fleet);
		await fleet.until(async () => await statusForKey(fleet, 'router-1', keyInForce) === 503, 'the router takes no callers');
		const status = await fleet.operator<{ready: boolean; unreadableVersion: number}>('router-1', '/status');
		assert.deepEqual([status.ready, status.unreadableVersion], [false, 2]);
		await heal(fleet, first._unsafeUnwrap().head);
		await fleet.until(async () => await statusForKey(fleet, 'router-1', keyInForce) === 404, 'the router takes callers again');
		await platform.close();
	});
}

/** Publishes a readable file in place of the unreadable one. */
async function replaceDesk(fleet: Fleet): Promise<void> {
	const replaced = await fleet.publish({'desk.service.jsonc': deskFile(10)}, asking);
	assert.equal(replaced.output, 'accepted as 3, in force on 1 of 1\n', replaced.errors);
}

async function putHead(fleet: Fleet, value: unknown): Promise<void> {
	const platform = platformOf(fleet);
	await platform.transact([{
		kind: 'put', table: configurationTable, key: headKey, value, condition: {kind: 'always'},
	}]);
	await platform.close();
}

/** Writes version 2: what version 1 has, and a service with this content. */
async function putVersion(fleet: Fleet, content: string | undefined): Promise<void> {
	const platform = platformOf(fleet);
	const stored = await readHead(platform);
	const {index} = stored._unsafeUnwrap().head;
	const text = await platform.getObject(objectName(index));
	const {files} = JSON.parse(text._unsafeUnwrap()!) as {files: Record<string, unknown>};
	const digest = content === undefined ? 'digest-of-nothing' : await putObject(fleet, content);
	const changed = JSON.stringify({files: {...files, 'service/desk': {parts: [digest], version: 2}}});
	await putHead(fleet, {version: 2, index: await putObject(fleet, changed)});
	await platform.close();
}

/** Stores a text as it is; the platform's client would send it as JSON. */
async function putObject(fleet: Fleet, content: string): Promise<string> {
	const digest = createHash('sha256').update(content).digest('hex');
	const {address} = fleet.process('platform');
	const answer = await request(`http://${address}/objects/${encodeURIComponent(objectName(digest))}`, {method: 'PUT', body: content, headers: {'content-type': 'text/plain'}});
	await answer.body.dump();
	return digest;
}

async function headReads(fleet: Fleet): Promise<number> {
	const counts = await fleet.control<Record<string, number>>('platform', '/control/counts');
	return counts['/table/read'] ?? 0;
}
