import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {
	Fleet, operatorKey, testKey, workspacesFile,
} from '../testing/fleet.ts';
import {
	bodyBytes, hostileBodies, hostileHeads, sendCrowd, type CrowdTarget, type Hostility,
} from '../testing/hostile-crowd.ts';
import {
	memoryFlags, openDescriptors, peakMegabytes, smallestHostMegabytes,
} from '../testing/process-memory.ts';

/** Descriptors that the router may have. */
const descriptors = 640;

const headOf = (attempt: string, header: string) => [
	'POST /v1/services/orders/refills HTTP/1.1', 'Host: a', `Authorization: Bearer ${testKey}`, `Idempotency-Key: ${attempt}`, 'X-First-Attempt: yes', header, '', '',
].join('\r\n');

/** Crowds at the port for operators and at that for other routers. */
const portHostilities: Record<string, Hostility> = {
	'connections on which nothing is sent': hostileHeads['connections on which nothing is sent']!,
	'bodies without an end': hostileBodies['bodies without an end']!,
	'bodies in chunks of one byte that stop short of their end': hostileBodies['bodies in chunks of one byte that stop short of their end']!,
};

async function startFleet(): Promise<Fleet> {
	const fleet = await Fleet.create();
	await fleet.startPlain('plain-1', 'orders');
	await fleet.startRouter('router-1', {callers: {largestBodyBytes: bodyBytes}}, 'zone-a', {flags: memoryFlags, descriptors});
	await fleet.publishHosts();
	const published = await fleet.publish({
		'orders.service.jsonc': {
			service: 'orders', kind: 'plain', idempotentCalls: [{method: 'GET', path: '/status'}], deadlineSeconds: 10,
		},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	return fleet;
}

async function call(fleet: Fleet, body?: string): Promise<number> {
	const {callers} = fleet.hosts.get('router-1')!.entry!;
	const response = await request(`http://${callers}/v1/services/orders/${body === undefined ? 'status' : 'refills'}`, {
		method: body === undefined ? 'GET' : 'POST', headers: {authorization: `Bearer ${testKey}`, 'idempotency-key': 'ordinary'}, body, reset: true, signal: AbortSignal.timeout(5000),
	});
	await response.body.dump();
	return response.statusCode;
}

/** Checks after a crowd has come that the router lives within its limits, and that an ordinary request is answered. */
async function checkRouter(fleet: Fleet): Promise<void> {
	const {child} = fleet.process('router-1');
	await fleet.until(async () => await call(fleet) === 200, 'an ordinary request is answered', 10_000);
	const peak = await peakMegabytes(child.pid!);
	assert.ok(peak !== undefined && peak < smallestHostMegabytes, `${peak} MB`);
	const opened = await openDescriptors(child.pid!);
	assert.ok(opened !== undefined && opened <= descriptors, `${opened} descriptors`);
	assert.equal(child.exitCode, null);
}

async function play(hostility: Hostility, target: (entry: {callers: string; operators: string; peers: string}) => CrowdTarget): Promise<void> {
	await using fleet = await startFleet();
	const crowd = await sendCrowd(hostility, target(fleet.hosts.get('router-1')!.entry!));
	await checkRouter(fleet);
	crowd.leave();
}

// Such callers made the process run out of memory, took all its descriptors, or kept it from serving others.
for (const [name, hostility] of Object.entries({...hostileBodies, ...hostileHeads})) {
	test(`at a router, ${name}: the process lives within its memory and descriptors, and an ordinary request is answered`, async () => {
		await play(hostility, ({callers: address}) => ({address, headOf}));
	});
}

for (const port of ['operators', 'peers'] as const) {
	for (const [name, hostility] of Object.entries(portHostilities)) {
		test(`at a router, ${name}, at the port for ${port}: the process lives within its memory and descriptors, and an ordinary request is answered`, async () => {
			const portHead = (_attempt: string, header: string) => `POST /other HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${operatorKey}\r\n${header}\r\n\r\n`;
			await play(hostility, ({[port]: address}) => ({address, headOf: portHead}));
		});
	}
}

test('at a router, a single request with a body of the largest size is served in calm', async () => {
	await using fleet = await startFleet();
	assert.equal(await call(fleet, 'x'.repeat(bodyBytes)), 201);
});
