import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	GatewayFleet, rawRequest, routeHost, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {
	bodyBytes, crowdSizes, flood, hostileBodies, hostileHeads, sendCrowd, write, type CrowdTarget, type Hostility,
} from '../testing/hostile-crowd.ts';
import {openDescriptors, peakMegabytes, smallestHostMegabytes} from '../testing/process-memory.ts';

/** Descriptors that the gateway may have. */
const descriptors = 640;

/** Requests that a caller sends behind a generation without waiting, on each of so many connections, and the bytes of a header of each. */
const waitingHeads = {connections: 150, requestsEach: 55, headerBytes: 15_000};

/** Bytes of a body that a single caller sends in chunks of one byte. */
const tinyChunkBodyBytes = 60_000;

const generationHeaders = 'X-Azuretack-Token-Counts: 8000,120\r\nX-Azuretack-Prompt-Prefix: a1:200,b2:7800\r\nContent-Length: 0';

const headOf = (attempt: string, header: string) => rawRequest({method: 'POST', path: '/deposits/1', attempt}).replace('\r\n\r\n', `\r\n${header}\r\n\r\n`);

const hostileRequests: Record<string, Hostility> = {
	'requests one behind the other whose answers are not read': {
		callers: crowdSizes.floods,
		async send({socket, attempt}) {
			socket.pause();
			await write(socket, Array.from({length: 400}, (_unused, index) => rawRequest({method: 'GET', path: '/status/1', attempt: `${attempt}-${index}`})).join(''));
		},
	},
	'requests with large heads behind one that is not answered': {
		callers: waitingHeads.connections,
		async send({socket, attempt}) {
			await write(socket, rawRequest({method: 'POST', path: '/drafts/1', attempt}).replace('\r\n\r\n', `\r\n${generationHeaders}\r\n\r\n`));
			const header = `X-Note: ${'n'.repeat(waitingHeads.headerBytes)}`;
			const behind = Array.from({length: waitingHeads.requestsEach}, (_unused, index) =>
				rawRequest({method: 'GET', path: '/status/1', attempt: `${attempt}-${index}`}).replace('\r\n\r\n', `\r\n${header}\r\n\r\n`));
			await write(socket, behind.join(''));
		},
	},
};

/** Crowds at the ports of a gateway that are not for requests. */
const portHostilities: Record<string, Hostility> = {
	'connections on which nothing is sent': hostileHeads['connections on which nothing is sent']!,
	'lines of a head without an end': hostileHeads['lines of a head without an end']!,
	'bodies without an end': hostileBodies['bodies without an end']!,
	'bodies in chunks of one byte that stop short of their end': hostileBodies['bodies in chunks of one byte that stop short of their end']!,
};

/** What an ordinary caller of each port asks. */
const ports = {
	entries: `/api/resolve?name=${routeHost}&region=home&zone=zone-a`, readiness: '/api/ready', metrics: '/metrics', peers: undefined,
} as const;

async function startFleet(): Promise<{fleet: GatewayFleet; gateway: GatewayProcess}> {
	const fleet = await GatewayFleet.create();
	fleet.configure({bodyBytes});
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', events: 3, promptMilliseconds: 4000,
	});
	const gateway = await fleet.startGateway('gateway-1', {}, {settings: {resources: {memoryMegabytes: smallestHostMegabytes, descriptors}}, descriptors});
	return {fleet, gateway};
}

/** Checks after a crowd has come that the gateway lives within its limits, and that an ordinary request is answered. */
async function checkGateway(fleet: GatewayFleet, gateway: GatewayProcess): Promise<void> {
	await fleet.until(async () => {
		const {status} = await fleet.call(gateway, {path: '/status/ordinary'});
		return status === 200;
	}, 'an ordinary request is answered');
	const peak = await peakMegabytes(gateway.child.pid!);
	assert.ok(peak !== undefined && peak < smallestHostMegabytes, `${peak} MB`);
	const opened = await openDescriptors(gateway.child.pid!);
	assert.ok(opened !== undefined && opened <= descriptors, `${opened} descriptors`);
	assert.equal(gateway.child.exitCode, null);
}

async function play(hostility: Hostility, target: (gateway: GatewayProcess) => CrowdTarget, check = checkGateway): Promise<void> {
	const {fleet, gateway} = await startFleet();
	await using _fleet = fleet;
	const crowd = await sendCrowd(hostility, target(gateway));
	await check(fleet, gateway);
	crowd.leave();
}

// Such callers made the process run out of memory, took all its descriptors, or kept it from serving others.
for (const [name, hostility] of Object.entries({...hostileBodies, ...hostileHeads, ...hostileRequests})) {
	test(`${name}: the process lives within its memory and descriptors, and an ordinary request is answered`, async () => {
		await play(hostility, ({callers: address}) => ({address, headOf}));
	});
}

for (const [port, target] of Object.entries(ports) as Array<[keyof typeof ports & keyof GatewayProcess, string | undefined]>) {
	for (const [name, hostility] of Object.entries(portHostilities)) {
		test(`${name}, at the port for ${port}: the process lives within its memory and descriptors, and an ordinary request is answered`, async () => {
			const portHead = (_attempt: string, header: string) => `POST /other HTTP/1.1\r\nHost: a\r\n${header}\r\n\r\n`;
			await play(hostility, gateway => ({address: gateway[port], headOf: portHead}), async (fleet, gateway) => {
				await checkGateway(fleet, gateway);
				if (target !== undefined) {
					const {status} = await fleet.get(gateway[port], target);
					assert.equal(status, 200);
				}
			});
		});
	}
}

test('a single request with a body of the largest size is served in calm', async () => {
	const {fleet, gateway} = await startFleet();
	await using _fleet = fleet;
	const {status} = await fleet.call(gateway, {path: '/deposits/1', method: 'POST', body: 'x'.repeat(bodyBytes)});
	assert.equal(status, 200);
});

test('a single request with a body in chunks of one byte is served in calm', async () => {
	const {fleet, gateway} = await startFleet();
	await using _fleet = fleet;
	const answers: string[] = [];
	const crowd = await sendCrowd({
		callers: 1,
		async send({socket, head}) {
			socket.on('data', (bytes: Uint8Array) => {
				answers.push(new TextDecoder().decode(bytes));
			});
			await write(socket, head('Transfer-Encoding: chunked'));
			await flood(socket, '1\r\nx\r\n'.repeat(1000), tinyChunkBodyBytes * 6);
			await write(socket, '0\r\n\r\n');
			await fleet.until(() => answers.length > 0, 'the request is answered');
		},
	}, {address: gateway.callers, headOf});
	crowd.leave();
	assert.match(answers.join(''), /^HTTP\/1\.1 200 /v);
});

test('a single caller that sends requests with large heads without waiting has all its answers in calm', async () => {
	const {fleet, gateway} = await startFleet();
	await using _fleet = fleet;
	let received = '';
	const {send} = hostileRequests['requests with large heads behind one that is not answered']!;
	const crowd = await sendCrowd({
		callers: 1,
		async send(caller) {
			caller.socket.on('data', (bytes: Uint8Array) => {
				received += new TextDecoder().decode(bytes);
			});
			await send(caller);
			await fleet.until(() => received.split('HTTP/1.1 ').length > waitingHeads.requestsEach + 1, 'all requests are answered');
		},
	}, {address: gateway.callers, headOf});
	crowd.leave();
	assert.equal(received.split('HTTP/1.1 ').length, waitingHeads.requestsEach + 2);
});

