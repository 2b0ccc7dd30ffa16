import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {blockEventLoop} from '../testing/block-event-loop.ts';
import {startIoTimeout} from './io-timeout.ts';

test('a timeout passes once when nothing arrives, and not after it was cleared', async () => {
	const passed: string[] = [];
	startIoTimeout(10, () => {
		passed.push('first');
	});
	const cleared = startIoTimeout(10, () => {
		passed.push('cleared');
	});
	cleared.clear();
	await delay(60);
	assert.deepEqual(passed, ['first']);
});

test('a timeout that is refreshed starts anew', async () => {
	let hasPassed = false;
	const timeout = startIoTimeout(60, () => {
		hasPassed = true;
	});
	for (let refresh = 0; refresh < 5; refresh += 1) {
		await delay(20);
		timeout.refresh();
	}

	assert.equal(hasPassed, false);
	await delay(120);
	assert.equal(hasPassed, true);
});

test('input that arrived while the event loop was late is handled before the timeout passes', async context => {
	const server = createServer(socket => {
		socket.end('bytes');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
	});
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await once(socket, 'connect');
	const closed = once(socket, 'close');
	let hasPassed = false;
	const timeout = startIoTimeout(50, () => {
		hasPassed = true;
	});
	socket.on('data', () => {
		timeout.clear();
	});
	await delay(1);
	blockEventLoop(200);
	await closed;
	assert.equal(hasPassed, false);
});
