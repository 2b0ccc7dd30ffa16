import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {blockEventLoop} from '../testing/block-event-loop.ts';
import {httpCall} from './http-call.ts';

/** Starts a server and returns a function that calls it over kept connections, and what these are. */
async function startServer(context: TestContext, serve: (response: ServerResponse) => Promise<void>) {
	const server = createServer((_request, response) => {
		void serve(response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const agent = new Agent({keepAlive: true});
	context.after(async () => {
		agent.destroy();
		server.closeAllConnections();
		server.close();
		await once(server, 'close');
	});
	const {port} = server.address() as AddressInfo;
	return {
		agent,
		makeCall: async () => httpCall({
			agent, address: `127.0.0.1:${port}`, path: '/', timeoutMilliseconds: 200,
		}),
	};
}

async function call(context: TestContext, serve: (response: ServerResponse) => Promise<void>) {
	const {makeCall} = await startServer(context, serve);
	return makeCall();
}

test('a response that keeps arriving may take longer than the timeout', async context => {
	const response = await call(context, async serverResponse => {
		for (let part = 0; part < 8; part += 1) {
			serverResponse.write('part');
			await delay(50);
		}

		serverResponse.end();
	});
	assert.equal(response._unsafeUnwrap().body.length, 32);
});

test('a response that keeps arriving is read although the event loop was late for longer than the timeout', async context => {
	const response = await call(context, async serverResponse => {
		for (let part = 0; part < 8; part += 1) {
			serverResponse.write('part');
			if (part === 3) {
				blockEventLoop(300);
			}

			await delay(50);
		}

		serverResponse.end();
	});
	assert.equal(response._unsafeUnwrap().body.length, 32);
});

test('a response that arrived while the event loop was late is read', async context => {
	const calling = call(context, async serverResponse => {
		serverResponse.end('whole');
		await delay(0);
		blockEventLoop(400);
	});
	const response = await calling;
	assert.equal(response.isOk(), true);
});

test('a response that stalls is aborted after the timeout', async context => {
	const response = await call(context, async serverResponse => {
		serverResponse.write('part');
	});
	assert.equal(response.isErr(), true);
});

test('a kept connection gathers no listeners over many calls', async context => {
	const {agent, makeCall} = await startServer(context, async response => {
		response.end('whole');
	});
	const listenersAfter = async (calls: number) => {
		for (let made = 0; made < calls; made += 1) {
			const response = await makeCall();
			assert.ok(response.isOk());
			await delay(5);
		}

		const [socket] = Object.values(agent.freeSockets).flat();
		return socket!.eventNames().reduce((sum, name) => sum + socket!.listenerCount(name), 0);
	};

	assert.equal(await listenersAfter(1), await listenersAfter(20));
});

test('a server that switches to another protocol gives no response', {timeout: 5000}, async context => {
	const response = await call(context, async serverResponse => {
		serverResponse.socket!.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n');
	});
	const {sent, message} = response._unsafeUnwrapErr();
	assert.deepEqual([sent, message], [true, 'the connection was closed without a response']);
});
