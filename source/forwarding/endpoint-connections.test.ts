import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EndpointConnections, type ConnectionUse} from './endpoint-connections.ts';
import {reusableIdleTime} from './idle-time.ts';
import {sendRequest, type SendOutcome} from './send-request.ts';

/** An endpoint that keeps idle connections for a time, and the connections that it has accepted. */
type Endpoint = {address: string; sockets: Socket[]; connections: EndpointConnections; clock: {now: number}};

async function startEndpoint(context: TestContext, idleSeconds: number): Promise<Endpoint> {
	const sockets: Socket[] = [];
	const clock = {now: 0};
	const server = createServer({keepAliveTimeout: idleSeconds * 1000}, (request, response) => {
		response.setHeader('X-Azuretack-Attempt-Id', String(request.headers['x-azuretack-attempt-id']));
		response.end('hi');
	}).listen(0, '127.0.0.1');
	server.on('connection', socket => {
		sockets.push(socket);
	});
	await once(server, 'listening');
	const connections = new EndpointConnections({keepsConnections: true, clock: () => clock.now});
	context.after(() => {
		connections.close();
		server.closeAllConnections();
		server.close();
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets, connections, clock,
	};
}

async function send({address, connections}: Endpoint, use: ConnectionUse): Promise<SendOutcome['kind']> {
	const outcome = await sendRequest({
		agent: connections.agent(use, address),
		address,
		method: 'GET',
		target: '/',
		rawHeaders: ['Host', 'desk.example', 'X-Azuretack-Attempt-Id', 'a'],
		body: Buffer.alloc(0),
		attemptId: 'a',
		connectTimeoutMilliseconds: 500,
		signal: new AbortController().signal,
	});
	if (outcome.kind === 'response') {
		for await (const chunk of outcome.response.body()) {
			assert.equal(Buffer.from(chunk).toString(), 'hi');
		}

		await delay(1);
	}

	return outcome.kind;
}

// Load: a gateway that sends an endpoint one request in some seconds, of all kinds.
test('requests of all kinds share a connection while it is proven to live, and those that may not be repeated use no older one', async context => {
	const endpoint = await startEndpoint(context, 9);
	for (const use of ['proven', 'pooled', 'proven'] as const) {
		assert.equal(await send(endpoint, use), 'response');
	}

	assert.equal(endpoint.sockets.length, 1);
	endpoint.clock.now += 1500;
	assert.equal(await send(endpoint, 'pooled'), 'response');
	assert.equal(endpoint.sockets.length, 1);
	endpoint.clock.now += 1500;
	assert.equal(await send(endpoint, 'proven'), 'response');
	assert.equal(endpoint.sockets.length, 2);
	assert.equal(await send(endpoint, 'fresh'), 'response');
	assert.equal(endpoint.sockets.length, 3);
});

test('a connection is closed before the endpoint closes it', async context => {
	const endpoint = await startEndpoint(context, 3);
	assert.equal(await send(endpoint, 'pooled'), 'response');
	const closed = once(endpoint.sockets[0]!, 'close');
	const usedAt = performance.now();
	await closed;
	assert.ok(performance.now() - usedAt < 3000);
	assert.equal(await send(endpoint, 'pooled'), 'response');
	assert.equal(endpoint.sockets.length, 2);
});

test('a request that may not be repeated is not sent, instead of lost, where the endpoint has ended since its connection was proven', async context => {
	const endpoint = await startEndpoint(context, 9);
	assert.equal(await send(endpoint, 'proven'), 'response');
	endpoint.sockets[0]!.destroy();
	await delay(20);
	assert.equal(await send(endpoint, 'proven'), 'response');
	assert.equal(endpoint.sockets.length, 2);
});

test('many requests over one connection leave no listeners on it', async context => {
	const endpoint = await startEndpoint(context, 9);
	for (let count = 0; count < 30; count += 1) {
		assert.equal(await send(endpoint, 'pooled'), 'response');
	}

	assert.equal(endpoint.sockets.length, 1);
	assert.equal(endpoint.connections.idle, 1);
});

test('an idle connection is used for less than its endpoint states, and not at all where that is too short', () => {
	assert.equal(reusableIdleTime(undefined, 4000), 4000);
	assert.equal(reusableIdleTime(9000, 4000), 7200);
	assert.equal(reusableIdleTime(1000, 4000), 500);
	assert.ok(reusableIdleTime(400, 4000) <= 0);
});
