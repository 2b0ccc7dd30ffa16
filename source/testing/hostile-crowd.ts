/**
 * Crowds of callers that send more than a process has memory, descriptors or time for.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** Largest body that the processes allow, in bytes. */
export const bodyBytes = 4_194_304;

/** Callers at once. With bodies of legal size, or one connection each, these are more than a process has memory and descriptors for. */
export const crowdSizes = {
	large: 80, connections: 900, floods: 24, tinyChunks: 40,
};

/** Bytes that a caller sends in all where it sends without end. */
const floodBytes = 12_000_000;

/** Bytes that a caller sends in all in chunks of one byte, with their lengths and line ends. */
const tinyChunkBytes = 3_000_000;

/** Chunks of one byte that are written at once. */
const tinyChunksAtOnce = 10_000;

/** Pause between two pieces, in milliseconds. */
const pieceMilliseconds = 10;

/** Pieces of a body that is sent piece by piece. */
const pieces = 16;

/** Time that a crowd has for sending, in milliseconds. */
const sendMilliseconds = 8000;

/** A text for heads and bodies that are too long. */
export const filler = 'x'.repeat(16_000);

const tinyChunk = '1\r\nx\r\n';

/** What one caller sends. */
export type HostileCaller = {
	socket: Socket;
	/** Identifies its request. */
	attempt: string;
	/** Returns the head of a request of the caller, with a further header. */
	head: (header: string) => string;
};

/** A kind of crowd. */
export type Hostility = {callers: number; send: (caller: HostileCaller) => Promise<void>};

/** Writes bytes and waits until they are sent, or the connection has closed. */
export async function write(socket: Socket, bytes: string | Uint8Array): Promise<void> {
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
export async function flood(socket: Socket, text: string, bytes = floodBytes): Promise<void> {
	for (let sent = 0; sent < bytes && !socket.destroyed; sent += text.length) {
		await write(socket, text);
	}
}

async function writePieces(socket: Socket, bytesEach: number): Promise<void> {
	for (let piece = 0; piece < pieces; piece += 1) {
		await write(socket, Buffer.alloc(bytesEach));
		await delay(pieceMilliseconds);
	}
}

/** Crowds that send bodies. */
export const hostileBodies: Record<string, Hostility> = {
	'large bodies that stop short of their end': {
		callers: crowdSizes.large,
		async send({socket, head}) {
			await write(socket, head(`Content-Length: ${bodyBytes}`));
			await write(socket, Buffer.alloc(bodyBytes - 1));
		},
	},
	'large bodies in chunks that stop short of their end': {
		callers: crowdSizes.large,
		async send({socket, head}) {
			await write(socket, head('Transfer-Encoding: chunked'));
			await write(socket, `${bodyBytes.toString(16)}\r\n`);
			await write(socket, Buffer.alloc(bodyBytes - 1));
		},
	},
	'large bodies piece by piece that stop short of their end': {
		callers: crowdSizes.large,
		async send({socket, head}) {
			await write(socket, head(`Content-Length: ${bodyBytes}`));
			await writePieces(socket, (bodyBytes / pieces) - 1);
		},
	},
	'whole large bodies': {
		callers: crowdSizes.large,
		async send({socket, head}) {
			await write(socket, head(`Content-Length: ${bodyBytes}`));
			await write(socket, Buffer.alloc(bodyBytes));
		},
	},
	'whole large bodies piece by piece': {
		callers: crowdSizes.large,
		async send({socket, head}) {
			await write(socket, head(`Content-Length: ${bodyBytes}`));
			await writePieces(socket, bodyBytes / pieces);
		},
	},
	'bodies in chunks of one byte that stop short of their end': {
		callers: crowdSizes.tinyChunks,
		async send({socket, head}) {
			await write(socket, head('Transfer-Encoding: chunked'));
			await flood(socket, tinyChunk.repeat(tinyChunksAtOnce), tinyChunkBytes);
		},
	},
	'whole bodies in chunks of one byte': {
		callers: crowdSizes.tinyChunks,
		async send({socket, head}) {
			await write(socket, head('Transfer-Encoding: chunked'));
			await flood(socket, tinyChunk.repeat(tinyChunksAtOnce), tinyChunkBytes);
			await write(socket, '0\r\n\r\n');
		},
	},
	'bodies that announce more than is allowed': {
		callers: crowdSizes.floods,
		async send({socket, head}) {
			await write(socket, head('Content-Length: 1000000000'));
			await flood(socket, filler);
		},
	},
	'bodies without an end': {
		callers: crowdSizes.floods,
		async send({socket, head}) {
			await write(socket, head('Transfer-Encoding: chunked'));
			await flood(socket, `${filler.length.toString(16)}\r\n${filler}\r\n`);
		},
	},
};

/** Crowds that send heads, or nothing. */
export const hostileHeads: Record<string, Hostility> = {
	'heads over the limit': {
		callers: crowdSizes.floods,
		async send({socket, head}) {
			await write(socket, head(`X-Filler: ${filler.repeat(8)}`));
		},
	},
	'lines of a head without an end': {
		callers: crowdSizes.connections,
		async send({socket, head}) {
			await write(socket, head(`X-Filler: ${filler}`).slice(0, -2));
		},
	},
	'one line of a head without an end': {
		callers: crowdSizes.floods,
		async send({socket, head}) {
			await write(socket, head('X-Filler: ').slice(0, -4));
			await flood(socket, filler);
		},
	},
	'empty lines without an end before a request': {
		callers: crowdSizes.floods,
		async send({socket}) {
			await flood(socket, '\r\n'.repeat(8000));
		},
	},
	'connections on which nothing is sent': {
		callers: crowdSizes.connections,
		async send() {
			// An open connection is all.
		},
	},
	'bodies that stop before their first byte': {
		callers: crowdSizes.connections,
		async send({socket, head}) {
			await write(socket, head('Content-Length: 500'));
		},
	},
};

/** Opens a connection; one that is refused or closed stays as it is. */
async function open(address: string): Promise<Socket> {
	const [hostname, port] = address.split(':');
	const socket = connect(Number(port), hostname);
	socket.on('error', () => undefined);
	socket.resume();
	await Promise.race([once(socket, 'connect').catch(() => undefined), once(socket, 'close')]);
	return socket;
}

/** Where a crowd goes, and the heads of its requests. */
export type CrowdTarget = {address: string; headOf: (attempt: string, header: string) => string};

/** A crowd that has sent what it had time for; its connections stay open until it leaves. */
export type Crowd = {leave: () => void};

/**
 * Lets a crowd come; resolves once all is sent, or after some seconds.
 *
 * @param hostility What each caller sends.
 * @param target The address, and the heads of requests there.
 */
export async function sendCrowd({callers, send}: Hostility, {address, headOf}: CrowdTarget): Promise<Crowd> {
	const sockets = await Promise.all(Array.from({length: callers}, async () => open(address)));
	const sending = sockets.map(async (socket, index) => {
		const attempt = `hostile-${index}`;
		await send({socket, attempt, head: header => headOf(attempt, header)});
	});
	await Promise.race([Promise.all(sending), delay(sendMilliseconds)]);
	return {
		leave() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
