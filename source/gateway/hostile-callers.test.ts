import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet, rawRequest, type GatewayProcess} from '../testing/gateway-fleet.ts';
import {openDescriptors, peakMegabytes, smallestHostMegabytes} from '../testing/process-memory.ts';

/** Largest body that the configuration allows, in bytes. */
const bodyBytes = 4_194_304;

/** Descriptors that the gateway may have. */
const descriptors = 640;

/** Callers at once. With bodies of legal size, or one connection each, these are more than the process has memory and descriptors for. */
const crowd = {large: 80, connections: 900, floods: 24};

/** Bytes that a caller sends in all where it sends without end. */
const floodBytes = 12_000_000;

/** Pause between two pieces, in milliseconds. */
const pieceMilliseconds = 10;

const filler = 'x'.repeat(16_000);

type Hostility = {callers: number; send: (socket: Socket, attempt: string) => Promise<void>};

const headOf = (attempt: string, headers: string) => rawRequest({method: 'POST', path: '/deposits/1', attempt}).replace('\r\n\r\n', `\r\n${headers}\r\n\r\n`);

/** Writes bytes and waits until they are sent, or the connection has closed. */
async function write(socket: Socket, bytes: string | Uint8Array): Promise<void> {
	if (socket.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		socket.once('close', resolve);
		socket.write(bytes, () => {
			socket.off('close', resolve);
			resolve();
		});
	});
}

/** Writes a text again and again until so many bytes are sent, or the connection has closed. */
async function flood(socket: Socket, text: string): Promise<void> {
	for (let sent = 0; sent < floodBytes && !socket.destroyed; sent += text.length) {
		await write(socket, text);
	}
}

const hostilities: Record<string, Hostility> = {
	'large bodies that stop short of their end': {
		callers: crowd.large,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, `Content-Length: ${bodyBytes}`));
			await write(socket, Buffer.alloc(bodyBytes - 1));
		},
	},
	'large bodies in chunks that stop short of their end': {
		callers: crowd.large,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, 'Transfer-Encoding: chunked'));
			await write(socket, `${bodyBytes.toString(16)}\r\n`);
			await write(socket, Buffer.alloc(bodyBytes - 1));
		},
	},
	'large bodies piece by piece that stop short of their end': {
		callers: crowd.large,
		async send(socket, attempt) {
			const pieces = 16;
			await write(socket, headOf(attempt, `Content-Length: ${bodyBytes}`));
			for (let piece = 0; piece < pieces; piece += 1) {
				await write(socket, Buffer.alloc((bodyBytes / pieces) - 1));
				await delay(pieceMilliseconds);
			}
		},
	},
	'whole large bodies': {
		callers: crowd.large,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, `Content-Length: ${bodyBytes}`));
			await write(socket, Buffer.alloc(bodyBytes));
		},
	},
	'bodies that announce more than is allowed': {
		callers: crowd.floods,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, 'Content-Length: 1000000000'));
			await flood(socket, filler);
		},
	},
	'bodies without an end': {
		callers: crowd.floods,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, 'Transfer-Encoding: chunked'));
			await flood(socket, `${filler.length.toString(16)}\r\n${filler}\r\n`);
		},
	},
	'heads over the limit': {
		callers: crowd.floods,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, `X-Filler: ${filler.repeat(8)}`));
		},
	},
	'lines of a head without an end': {
		callers: crowd.connections,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, `X-Filler: ${filler}`).slice(0, -2));
		},
	},
	'one line of a head without an end': {
		callers: crowd.floods,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, 'X-Filler: ').slice(0, -4));
			await flood(socket, filler);
		},
	},
	'empty lines without an end before a request': {
		callers: crowd.floods,
		async send(socket) {
			await flood(socket, '\r\n'.repeat(8000));
		},
	},
	'connections on which nothing is sent': {
		callers: crowd.connections,
		async send() {
			// An open connection is all.
		},
	},
	'bodies that stop before their first byte': {
		callers: crowd.connections,
		async send(socket, attempt) {
			await write(socket, headOf(attempt, 'Content-Length: 500'));
		},
	},
	'requests one behind the other whose answers are not read': {
		callers: crowd.floods,
		async send(socket, attempt) {
			socket.pause();
			await write(socket, Array.from({length: 400}, (_unused, index) => rawRequest({method: 'GET', path: '/status/1', attempt: `${attempt}-${index}`})).join(''));
		},
	},
};

/** Opens a connection; one that is refused or closed stays as it is. */
async function open({callers}: GatewayProcess): Promise<Socket> {
	const [hostname, port] = callers.split(':');
	const socket = connect(Number(port), hostname);
	socket.on('error', () => undefined);
	socket.resume();
	await Promise.race([once(socket, 'connect').catch(() => undefined), once(socket, 'close')]);
	return socket;
}

async function startFleet(): Promise<{fleet: GatewayFleet; gateway: GatewayProcess}> {
	const fleet = await GatewayFleet.create();
	fleet.configure({bodyBytes});
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1', {}, {settings: {resources: {memoryMegabytes: smallestHostMegabytes, descriptors}}, descriptors});
	return {fleet, gateway};
}

// Such callers made the process run out of memory, or took all its descriptors.
for (const [name, {callers, send}] of Object.entries(hostilities)) {
	test(`${name}: the process lives within its memory and descriptors, and an ordinary request is answered`, async () => {
		const {fleet, gateway} = await startFleet();
		await using _fleet = fleet;
		const sockets = await Promise.all(Array.from({length: callers}, async () => open(gateway)));
		const sending = sockets.map(async (socket, index) => send(socket, `hostile-${index}`));
		await Promise.race([Promise.all(sending), delay(8000)]);
		await fleet.until(async () => {
			const {status} = await fleet.call(gateway, {path: '/status/ordinary'});
			return status === 200;
		}, 'an ordinary request is answered');
		const peak = await peakMegabytes(gateway.child.pid!);
		assert.ok(peak !== undefined && peak < smallestHostMegabytes, `${peak} MB`);
		const opened = await openDescriptors(gateway.child.pid!);
		assert.ok(opened !== undefined && opened <= descriptors, `${opened} descriptors`);
		assert.equal(gateway.child.exitCode, null);
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}

test('a single request with a body of the largest size is served in calm', async () => {
	const {fleet, gateway} = await startFleet();
	await using _fleet = fleet;
	const {status} = await fleet.call(gateway, {path: '/deposits/1', method: 'POST', body: 'x'.repeat(bodyBytes)});
	assert.equal(status, 200);
});
