import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {httpCall} from './http-call.ts';

async function call(context: TestContext, serve: (response: ServerResponse) => Promise<void>) {
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
	return httpCall({
		agent, address: `127.0.0.1:${port}`, path: '/', timeoutMilliseconds: 200,
	});
}

test('a large answer over a slow link may take longer than the time without a byte', async context => {
	const answer = await call(context, async response => {
		for (let part = 0; part < 8; part += 1) {
			response.write('part');
			await delay(50);
		}

		response.end();
	});
	assert.equal(answer._unsafeUnwrap().body.length, 32);
});

test('an answer that stops coming is given up', async context => {
	const answer = await call(context, async response => {
		response.write('part');
	});
	assert.equal(answer.isErr(), true);
});
