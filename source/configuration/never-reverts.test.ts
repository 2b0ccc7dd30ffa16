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
const revokedKey = 'key-that-version-two-revokes';
const activeKey = 'key-that-version-two-adds';

test('a router without a configuration rejects requests with status 503', async () => {
	await using fleet = await createRouters(1);
	await fleet.until(async () => await statusForKey(fleet, 'router-1', activeKey) === 503, 'the router rejects requests');
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: activeKey}})}, asking);
	assert.equal(await statusForKey(fleet, 'router-1', activeKey), 404);
});

test('a revoked key stays revoked on every router during a store outage and router restarts', async () => {
	await using fleet = await createRouters(3);
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: revokedKey}})}, asking);
	await fleet.waitUntilReady();
	assert.equal(await statusForKey(fleet, 'router-1', revokedKey), 404);
	const second = await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: activeKey}})}, asking);
	assert.equal(second.output, 'accepted as 2, in force on 3 of 3\n');

	const seen = await collectWhile(async () => {
		for (const mode of ['down', 'slow', 'silent']) {
			await fleet.control('platform', '/control/fault', {mode, delayMilliseconds: 1500});
			fleet.signal('router-2', 'SIGKILL');
			await fleet.ended('router-2');
			await fleet.restartRouter('router-2');
			await fleet.until(async () => await statusForKey(fleet, 'router-2', revokedKey) > 0, 'the restarted router responds');
			await delay(500);
			assert.equal(await statusForKey(fleet, 'router-1', activeKey), 404);
			assert.notEqual(await statusForKey(fleet, 'router-2', activeKey), 401, 'a router without a configuration does not reject any key');
			await fleet.control('platform', '/control/fault', {mode: 'up'});
			await fleet.until(async () => await versionOn(fleet, 'router-2') === 2, 'the restarted router has the active version');
		}
	}, async () => Promise.all(routers.map(async name => statusForKey(fleet, name, revokedKey))));
	assert.deepEqual([...seen].filter(status => ![0, 401, 503].includes(status)), []);
	assert.ok(seen.has(401));
});

test('a router keeps its version when the store reverts to an older one', async () => {
	await using fleet = await createRouters(1);
	const platform = platformOf(fleet);
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: revokedKey}})}, asking);
	const older = await readHead(platform);
	await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: activeKey}})}, asking);
	await putHead(fleet, older._unsafeUnwrap().head);
	const reads = await headReads(fleet);
	await fleet.until(async () => await headReads(fleet) > reads + 3, 'the router has read the older head');
	assert.equal(await versionOn(fleet, 'router-1'), 2);
	assert.equal(await statusForKey(fleet, 'router-1', revokedKey), 401);
	await platform.close();
});

/** Polls values while an action runs; returns the set of all values seen. */
async function collectWhile(action: () => Promise<void>, read: () => Promise<number[]>): Promise<Set<number>> {
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

/** Writes a version 2 that cannot be read, and publishes a readable version afterwards. */
type UnreadableVersion = {write: (fleet: Fleet) => Promise<void>; repair: (fleet: Fleet, first: ConfigurationHead) => Promise<void>};

const unreadable: Record<string, UnreadableVersion> = {
	'an unknown field of a newer program': {
		write: async fleet => putVersion(fleet, JSON.stringify({...deskFile(10), newerField: true})),
		repair: replaceDesk,
	},
	'an object that is not JSON': {
		write: async fleet => putVersion(fleet, '{"service": "desk",'),
		repair: replaceDesk,
	},
	'a missing object': {
		write: async fleet => putVersion(fleet, undefined),
		repair: replaceDesk,
	},
	'an index that is not JSON': {
		write: async fleet => putHead(fleet, {version: 2, index: await putObject(fleet, '{"files": ')}),
		repair: async (fleet, first) => putHead(fleet, {...first, version: 3}),
	},
	'a head of a newer program': {
		write: async fleet => putHead(fleet, {version: 2, newer: true}),
		repair: async (fleet, first) => putHead(fleet, first),
	},
};

for (const [name, {write, repair}] of Object.entries(unreadable)) {
	test(`a router that cannot read the published version rejects requests until a readable one is published: ${name}`, async () => {
		await using fleet = await createRouters(1);
		const published = await fleet.publish({'all.workspaces.jsonc': workspacesFile({test: {key: activeKey}})}, asking);
		assert.equal(published.code, 0, published.errors);
		assert.equal(await statusForKey(fleet, 'router-1', activeKey), 404);
		const platform = platformOf(fleet);
		const first = await readHead(platform);
		await write(fleet);
		await fleet.until(async () => await statusForKey(fleet, 'router-1', activeKey) === 503, 'the router rejects requests');
		const status = await fleet.operator<{ready: boolean; unreadableVersion: number}>('router-1', '/status');
		assert.deepEqual([status.ready, status.unreadableVersion], [false, 2]);
		await repair(fleet, first._unsafeUnwrap().head);
		await fleet.until(async () => await statusForKey(fleet, 'router-1', activeKey) === 404, 'the router serves requests again');
		await platform.close();
	});
}

/** Publishes a readable file that replaces the unreadable one. */
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

/** Writes version 2: the files of version 1 and a service with this content; `undefined` leaves its object missing. */
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

/** Stores a text unchanged; the platform's client would encode it as JSON. */
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
