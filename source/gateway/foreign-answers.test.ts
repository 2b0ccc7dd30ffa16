import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet} from '../testing/gateway-fleet.ts';
import {
	rawAnswer, rawBody, rawHead, type RawRequest,
} from '../testing/stand-ins/raw-worker.ts';

/** Calls of each test, eight at a time. */
const calls = 160;

/** How a worker's answers mix with those to others. */
const faults: Record<string, (request: RawRequest) => void> = {
	'a second copy right behind the answer'({attempt, socket}) {
		socket.write(rawAnswer(attempt) + rawAnswer(attempt));
	},
	'a second copy once the connection is unused'({attempt, socket}) {
		socket.write(rawAnswer(attempt));
		setTimeout(() => {
			socket.write(rawAnswer(attempt));
		}, 3);
	},
	'a second copy without a name once the connection is unused'({attempt, socket}) {
		socket.write(rawAnswer(attempt));
		setTimeout(() => {
			socket.write(rawAnswer(attempt).replace(/X-Azuretack-Attempt-Id: .*\r\n/v, ''));
		}, 3);
	},
	'a second copy before the answer to the next request': (() => {
		const last = new WeakMap<Socket, string>();
		return ({attempt, socket}: RawRequest) => {
			const before = last.get(socket);
			last.set(socket, attempt);
			socket.write((before === undefined ? '' : rawAnswer(before)) + rawAnswer(attempt));
		};
	})(),
	'a second copy without a name before the answer to the next request': (() => {
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
	'informational answers before the answer'({attempt, socket}) {
		socket.write(`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${rawAnswer(attempt)}`);
	},
};

for (const [name, answer] of Object.entries(faults)) {
	test(`no caller gets an answer that is not its own: ${name}`, async () => {
		await using fleet = await GatewayFleet.create();
		await fleet.startRawWorker({id: 'desk-1', service: 'desk', answer});
		await fleet.startRawWorker({id: 'desk-2', service: 'desk', answer});
		const gateway = await fleet.startGateway('gateway-1');
		let served = 0;
		const caller = async (lane: number) => {
			for (let call = 0; call < calls / 8; call += 1) {
				const attempt = `lane-${lane}-${call}`;
				const {status, body, whole} = await fleet.call(gateway, {path: `/status/${lane}`, attempt});
				if (status === 200 && whole) {
					assert.equal(body, rawBody(attempt));
					served += 1;
				}

				await delay(2);
			}
		};

		await Promise.all(Array.from({length: 8}, async (_unused, lane) => caller(lane)));
		assert.ok(served >= calls / 2, `${served} of ${calls} were served`);
	});
}

test('an answer that comes before any request is nobody\'s', async () => {
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

test('answers that may have no body leave the connection usable, and a body that comes all the same reaches nobody', async () => {
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
