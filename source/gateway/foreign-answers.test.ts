import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet} from '../testing/gateway-fleet.ts';
import {
	rawAnswer, rawBody, rawHead, type RawRequest,
} from '../testing/stand-ins/raw-worker.ts';

/** Number of calls in each test; eight run concurrently. */
const calls = 160;

/** Faults by which a worker sends bytes that do not belong to the answer to the current request. */
const faults: Record<string, (request: RawRequest) => void> = {
	'a duplicate immediately after the answer'({attempt, socket}) {
		socket.write(rawAnswer(attempt) + rawAnswer(attempt));
	},
	'a duplicate once the connection is idle'({attempt, socket}) {
		socket.write(rawAnswer(attempt));
		setTimeout(() => {
			socket.write(rawAnswer(attempt));
		}, 3);
	},
	'a duplicate without an attempt id once the connection is idle'({attempt, socket}) {
		socket.write(rawAnswer(attempt));
		setTimeout(() => {
			socket.write(rawAnswer(attempt).replace(/X-Azuretack-Attempt-Id: .*\r\n/v, ''));
		}, 3);
	},
	'a duplicate before the answer to the next request': (() => {
		const last = new WeakMap<Socket, string>();
		return ({attempt, socket}: RawRequest) => {
			const before = last.get(socket);
			last.set(socket, attempt);
			socket.write((before === undefined ? '' : rawAnswer(before)) + rawAnswer(attempt));
		};
	})(),
	'a duplicate without an attempt id before the answer to the next request': (() => {
		const last = new WeakMap<Socket, string>();
		return ({attempt, socket}: RawRequest) => {
			const before = last.get(socket);
			last.set(socket, attempt);
			socket.write((before === undefined ? '' : rawAnswer(before).replace(/X-Azuretack-Attempt-Id: .*\r\n/v, '')) + rawAnswer(attempt));
		};
	})(),
	'a body that is longer than its length'({attempt, socket}) {
		socket.write(`${rawAnswer(attempt)}and more`);
	},
	'informational responses before the answer'({attempt, socket}) {
		socket.write(`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${rawAnswer(attempt)}`);
	},
};

for (const [name, answer] of Object.entries(faults)) {
	test(`no caller gets the answer to another request: ${name}`, async () => {
		await using fleet = await GatewayFleet.create();
		await fleet.startRawWorker({id: 'desk-1', service: 'desk', answer});
		await fleet.startRawWorker({id: 'desk-2', service: 'desk', answer});
		const gateway = await fleet.startGateway('gateway-1');
		let served = 0;
		const caller = async (callerIndex: number) => {
			for (let call = 0; call < calls / 8; call += 1) {
				const attempt = `caller-${callerIndex}-${call}`;
				const {status, body, whole} = await fleet.call(gateway, {path: `/status/${callerIndex}`, attempt});
				if (status === 200 && whole) {
					assert.equal(body, rawBody(attempt));
					served += 1;
				}

				await delay(2);
			}
		};

		await Promise.all(Array.from({length: 8}, async (_unused, callerIndex) => caller(callerIndex)));
		assert.ok(served >= calls / 2, `${served} of ${calls} were served`);
	});
}

test('an answer that arrives before any request is not delivered to a caller', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startRawWorker({
		id: 'desk-1',
		service: 'desk',
		answer({attempt, socket}) {
			socket.write(rawAnswer(attempt));
		},
		onConnection(socket) {
			socket.write(rawAnswer('nobody'));
		},
	});
	const gateway = await fleet.startGateway('gateway-1');
	for (let call = 0; call < 20; call += 1) {
		const {status, body, whole} = await fleet.call(gateway, {path: '/status/1', attempt: `call-${call}`});
		assert.ok(status !== 200 || !whole || body === rawBody(`call-${call}`), body);
	}
});

test('answers without a body leave the connection usable, and an unexpected body reaches no caller', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startRawWorker({
		id: 'desk-1',
		service: 'desk',
		answer({attempt, socket}) {
			const [status, rest] = attempt.startsWith('empty') ? ['204 No Content', 'unexpected body'] : ['200 OK', rawBody(attempt)];
			const length = attempt.startsWith('empty') ? '' : `Content-Length: ${rest.length}\r\n`;
			socket.write(`${rawHead(attempt, status)}${length}\r\n${rest}`);
		},
	});
	const gateway = await fleet.startGateway('gateway-1');
	for (let call = 0; call < 20; call += 1) {
		const empty = await fleet.call(gateway, {path: '/status/1', attempt: `empty-${call}`});
		assert.ok([204, 502, 504].includes(empty.status) && !empty.body.includes('unexpected'));
		const {status, body, whole} = await fleet.call(gateway, {path: '/status/1', attempt: `call-${call}`});
		assert.ok(status !== 200 || !whole || body === rawBody(`call-${call}`), body);
	}
});
