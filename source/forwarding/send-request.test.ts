import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {blockEventLoop} from '../testing/block-event-loop.ts';
import {EndpointConnections} from './endpoint-connections.ts';
import {IncompleteResponseError, sendRequest, type SendOutcome} from './send-request.ts';

type Endpoint = {address: string; connections: EndpointConnections};

/** Starts an endpoint that handles received data with the given function; it is closed at the end of the test. */
async function startEndpoint(context: TestContext, respond: (socket: Socket, request: string) => void): Promise<Endpoint> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', data => {
			respond(socket, data.toString());
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connections = new EndpointConnections();
	context.after(async () => {
		connections.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
		await once(server, 'close');
	});
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections};
}

async function send({address, connections}: Endpoint, use: 'pooled' | 'fresh' = 'pooled', attemptId = 'a'): Promise<SendOutcome> {
	return sendRequest({
		agent: connections.agent(use, address),
		address,
		method: 'GET',
		target: '/',
		rawHeaders: ['Host', 'desk.example'],
		body: Buffer.alloc(0),
		attemptId,
		connectTimeoutMilliseconds: 500,
		signal: new AbortController().signal,
	});
}

async function readAll(outcome: SendOutcome): Promise<string> {
	assert.equal(outcome.kind, 'response');
	const chunks: Uint8Array[] = [];
	for await (const chunk of (outcome).response.body()) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

const unframedHead = 'HTTP/1.1 200 OK\r\nX-Azuretack-Attempt-Id: a\r\n\r\n';

for (const use of ['pooled', 'fresh'] as const) {
	test(`a body without a length is complete when its connection ends normally (${use})`, async context => {
		const endpoint = await startEndpoint(context, socket => {
			socket.end(`${unframedHead}whole`);
		});
		assert.equal(await readAll(await send(endpoint, use)), 'whole');
	});

	test(`a body without a length is incomplete when its connection is reset (${use})`, async context => {
		const endpoint = await startEndpoint(context, socket => {
			socket.write(`${unframedHead}half`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
		});
		await assert.rejects(readAll(await send(endpoint, use)), IncompleteResponseError);
	});

	test(`a body without a length is incomplete when its connection is reset before it is read (${use})`, async context => {
		const endpoint = await startEndpoint(context, socket => {
			socket.write(`${unframedHead}half`, () => {
				socket.resetAndDestroy();
			});
		});
		const outcome = await send(endpoint, use);
		if (outcome.kind === 'response') {
			await assert.rejects(readAll(outcome), IncompleteResponseError);
		}
	});

	test(`a body that is shorter than its Content-Length is incomplete (${use})`, async context => {
		const endpoint = await startEndpoint(context, socket => {
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf');
		});
		await assert.rejects(readAll(await send(endpoint, use)), IncompleteResponseError);
	});
}

test('a response that echoes another attempt id is rejected', async context => {
	const endpoint = await startEndpoint(context, socket => {
		socket.write('HTTP/1.1 200 OK\r\nX-Azuretack-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nhi');
	});
	const outcome = await send(endpoint);
	assert.equal(outcome.kind, 'lost');
});

const interimResponse = 'HTTP/1.1 102 Processing\r\n\r\n';

test('an attempt whose endpoint sends interim responses without an end is lost, and its connection is closed', {timeout: 5000}, async context => {
	const closed = new AbortController();
	const endpoint = await startEndpoint(context, socket => {
		const timer = setInterval(() => {
			socket.write(interimResponse.repeat(10));
		}, 2);
		socket.once('close', () => {
			clearInterval(timer);
			closed.abort();
		});
	});
	const outcome = await send(endpoint);
	assert.equal(outcome.kind, 'lost');
	if (!closed.signal.aborted) {
		await once(closed.signal, 'abort');
	}
});

test('a response after some interim responses is received, also when its connection had as many before', async context => {
	const endpoint = await startEndpoint(context, socket => {
		socket.write(`${interimResponse.repeat(60)}HTTP/1.1 200 OK\r\nX-Azuretack-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nhi`);
	});
	for (let request = 0; request < 3; request += 1) {
		assert.equal(await readAll(await send(endpoint)), 'hi');
	}
});

test('bytes after a complete response are not taken for the response to a later request', async context => {
	let requests = 0;
	const endpoint = await startEndpoint(context, (socket, request) => {
		requests += 1;
		const attempt = /attempt: (?<name>\w)/v.exec(request)?.groups?.name ?? 'a';
		const answer = `HTTP/1.1 200 OK\r\nX-Azuretack-Attempt-Id: ${attempt}\r\nContent-Length: 2\r\n\r\nhi`;
		socket.write(answer);
		setTimeout(() => {
			socket.write(answer);
		}, 20);
	});
	assert.equal(await readAll(await send(endpoint)), 'hi');
	await new Promise(resolve => {
		setTimeout(resolve, 60);
	});
	assert.equal(await readAll(await send(endpoint)), 'hi');
	assert.equal(requests, 2);
});

test('a refused connection is reported as not sent', async () => {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	server.close();
	await once(server, 'close');
	const connections = new EndpointConnections();
	const outcome = await send({address, connections});
	assert.equal(outcome.kind, 'not-sent');
	connections.close();
});

test('a request whose connection closes without a response is reported as lost', async context => {
	const endpoint = await startEndpoint(context, socket => {
		socket.destroy();
	});
	const outcome = await send(endpoint);
	assert.equal(outcome.kind, 'lost');
});

const headLine = fc.oneof(
	fc.constantFrom('HTTP/1.1 200 OK', 'HTTP/1.1 100 Continue', 'HTTP/1.1 503', 'HTTP/9.9 200', 'Content-Length: 5', 'Content-Length: -1', 'Transfer-Encoding: chunked', 'X-Azuretack-Attempt-Id: a', ''),
	fc.string({maxLength: 40}),
	fc.integer({min: 1, max: 40_000}).map(length => `X-Long: ${'x'.repeat(length)}`),
);

test('an attempt whose endpoint switches to another protocol is lost', {timeout: 5000}, async context => {
	const endpoint = await startEndpoint(context, socket => {
		socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n');
	});
	const outcome = await send(endpoint);
	assert.deepEqual(outcome, {kind: 'lost', message: 'the connection was closed without a response'});
});

test('for any bytes in place of a response head, the outcome is a response with a valid status or a lost response', async context => {
	let bytes = '';
	const endpoint = await startEndpoint(context, socket => {
		socket.write(bytes);
		setTimeout(() => {
			socket.destroy();
		}, 5);
	});
	await fc.assert(fc.asyncProperty(fc.array(headLine, {maxLength: 12}), async lines => {
		bytes = `${lines.join('\r\n')}\r\n\r\n`;
		const outcome = await send(endpoint, 'fresh');
		if (outcome.kind === 'response') {
			assert.ok(outcome.response.status >= 100 && outcome.response.status <= 999);
			outcome.response.cancel();
		} else {
			assert.equal(outcome.kind, 'lost');
		}
	}), {seed: 19, numRuns: 200});
});

test('an endpoint that accepts the connection while the event loop is late does not count as unreachable', async context => {
	const endpoint = await startEndpoint(context, socket => {
		socket.end('HTTP/1.1 200 OK\r\nX-Azuretack-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n');
	});
	for (const use of ['fresh', 'pooled'] as const) {
		const sending = send(endpoint, use);
		await new Promise(resolve => {
			process.nextTick(resolve);
		});
		blockEventLoop(700);
		const {kind} = await sending;
		assert.equal(kind, 'response');
	}
});
