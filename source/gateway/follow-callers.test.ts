import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {describe, test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {CallerConnections, type ClosingReason} from '../forwarding/mod.ts';
import {followCallers} from './follow-callers.ts';

const head = 'GET / HTTP/1.1\r\nHost: desk.example\r\n';

/** What a caller sends, the status of the error that it gets, if any, and why its connection is closed. */
const cases: Record<string, {bytes: string; status: number | undefined; reason: ClosingReason}> = {
	'bytes that are no request': {bytes: '@@@\r\n\r\n', status: 400, reason: 'invalid-request'},
	'a body that is not framed': {bytes: `${head}Transfer-Encoding: chunked\r\n\r\nx\r\n`, status: 400, reason: 'invalid-request'},
	'headers that are too long': {bytes: `${head}X-Long: ${'x'.repeat(20_000)}\r\n\r\n`, status: 431, reason: 'invalid-request'},
	'a head that stays incomplete': {bytes: head, status: 408, reason: 'timeout'},
	'a whole request and no other one': {bytes: `${head}\r\n`, status: undefined, reason: 'idle'},
	'a request that gets no response': {bytes: `${head.replace('/', '/silent')}\r\n`, status: undefined, reason: 'timeout'},
};

/** Creates a server with short timers that answers each whole request but those to `/silent`. */
function createShortServer(): Server {
	return createServer({
		keepAliveTimeout: 100, headersTimeout: 300, requestTimeout: 0, connectionsCheckingInterval: 50,
	}, (request, response) => {
		request.on('error', () => undefined);
		if (request.url === '/silent') {
			request.socket.setTimeout(200);
			return;
		}

		request.resume();
		request.on('end', () => {
			response.sendDate = false;
			response.end('ok');
		});
	});
}

/** Sends bytes and returns all that came until the connection closed. */
async function exchange(server: Server, bytes: string): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', (data: Uint8Array) => {
		text += new TextDecoder().decode(data);
	});
	socket.write(bytes);
	await once(socket, 'close');
	server.close();
	await once(server, 'close');
	await setImmediate();
	return text;
}

describe('a connection that the server closes', {concurrency: true}, () => {
	for (const [name, {bytes, status, reason}] of Object.entries(cases)) {
		test(`gets what Node's server sends, and its reason is counted: ${name}`, async () => {
			const reasons: ClosingReason[] = [];
			const ignore = () => undefined;
			const connections = new CallerConnections({
				logger: {
					debug: ignore, info: ignore, warn: ignore, error: ignore,
				},
				clock: () => performance.now(),
				count(counted: ClosingReason) {
					reasons.push(counted);
				},
			});
			const server = createShortServer();
			server.prependListener('request', (_request, response) => {
				connections.watch(response, {requestName: 'attempt-1', arrivedAt: performance.now()});
			});
			followCallers(server, connections);
			const [text, usual] = await Promise.all([exchange(server, bytes), exchange(createShortServer(), bytes)]);
			assert.equal(text, usual);
			assert.equal(text.startsWith('HTTP/1.1 200 ') ? undefined : /^HTTP\/1\.1 (\d+) /v.exec(text)?.[1], status === undefined ? undefined : String(status));
			assert.deepEqual(reasons, [reason]);
		});
	}
});
