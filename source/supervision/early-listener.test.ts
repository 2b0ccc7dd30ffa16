import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {sendCall} from '../testing/call.ts';
import {takeLoopbackAddress} from '../testing/loopback-address.ts';
import {EarlyListener, close, listen} from './mod.ts';

const host = takeLoopbackAddress();

function createEcho(): Server {
	return createServer((request, response) => {
		let bytes = 0;
		request.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
		});
		request.on('end', () => {
			response.end(`${request.method} ${request.url} ${bytes}`);
		});
	});
}

test('requests that arrive before the server exists are answered by it, whole or in pieces, and so are later ones', async context => {
	const address = `${host}:9101`;
	const early = new EarlyListener(address);
	await delay(20);
	const body = 'x'.repeat(300_000);
	const whole = sendCall(address, {method: 'POST', path: '/whole', body});
	const pieces = connect(9101, host);
	await once(pieces, 'connect');
	pieces.write('GET /pie');
	await delay(50);
	const server = createEcho();
	context.after(async () => close(server));
	assert.ok(await early.handOver(server));
	const answer = await whole;
	assert.equal(answer.body, 'POST /whole 300000');
	const received = once(pieces, 'data');
	pieces.write('ces HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n');
	const [data] = await received as [Uint8Array];
	assert.match(new TextDecoder().decode(data), /GET \/pieces 0/v);
	const later = await sendCall(address, {path: '/later'});
	assert.equal(later.body, 'GET /later 0');
});

test('a server that has taken a listener over stops listening when it is closed', async () => {
	const address = `${host}:9102`;
	const server = createEcho();
	assert.ok(await new EarlyListener(address).handOver(server));
	assert.ok(server.listening);
	await close(server);
	const refused = await sendCall(address, {path: '/'});
	assert.equal(refused.status, 0);
});

test('an address that is taken is not handed over', async context => {
	const address = `${host}:9103`;
	const server = createEcho();
	context.after(async () => close(server));
	await listen(server, address);
	assert.equal(await new EarlyListener(address).handOver(createEcho()), false);
});
