import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {GatewayFleet, rawRequest} from '../testing/gateway-fleet.ts';
import {rawBody, rawHead, type RawRequest} from '../testing/stand-ins/raw-worker.ts';

const large = 'x'.repeat(400_000);

/** Truncated answers, by how they are cut off. */
const truncatedAnswers: Record<string, (request: RawRequest) => void> = {
	'shorter than its length'({attempt, socket}) {
		socket.end(`${rawHead(attempt)}Content-Length: 100\r\n\r\n${rawBody(attempt)}`);
	},
	'chunked without the final chunk'({attempt, socket}) {
		socket.end(`${rawHead(attempt)}Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n`);
	},
	'within a chunk'({attempt, socket}) {
		socket.end(`${rawHead(attempt)}Transfer-Encoding: chunked\r\n\r\nff\r\nabcde`);
	},
	'with truncated trailers'({attempt, socket}) {
		socket.end(`${rawHead(attempt)}Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nabcde\r\n0\r\nX-Sum: `);
	},
	'without a length, then a reset'({attempt, socket}) {
		socket.write(`${rawHead(attempt)}\r\n${rawBody(attempt)}`);
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 20);
	},
	'large, shorter than its length'({attempt, socket}) {
		socket.end(`${rawHead(attempt)}Content-Length: 500000\r\n\r\n${large}`);
	},
	'large, chunked without the final chunk'({attempt, socket}) {
		socket.end(`${rawHead(attempt)}Transfer-Encoding: chunked\r\n\r\n${large.length.toString(16)}\r\n${large}\r\n`);
	},
};

for (const [name, answer] of Object.entries(truncatedAnswers)) {
	test(`a truncated answer never looks complete to the caller: ${name}`, async () => {
		await using fleet = await GatewayFleet.create();
		await fleet.startRawWorker({id: 'desk-1', service: 'desk', answer});
		const gateway = await fleet.startGateway('gateway-1');
		for (const request of [{path: '/status/1'}, {path: '/deposits/1', method: 'POST', body: 'once'}]) {
			for (let call = 0; call < 4; call += 1) {
				const {status, whole} = await fleet.call(gateway, request);
				assert.ok(!(status === 200 && whole), `${request.path}: ${status}`);
				assert.ok(![408, 421, 429, 503].includes(status) || call > 0, `${request.path}: ${status} would mean that it has not run`);
			}
		}
	});
}

test('a stream that ends in the middle of an event never looks complete to the caller', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startRawWorker({
		id: 'scribe-1',
		service: 'scribe',
		answer({attempt, socket}) {
			const event = 'id: 1\ndata: token 1\n\nid: 2\nda';
			socket.end(`${rawHead(attempt)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`);
		},
	});
	const gateway = await fleet.startGateway('gateway-1');
	const answer = await fleet.draft(gateway, {deadlineMilliseconds: 3000});
	assert.ok(!(answer.status === 200 && answer.whole));
	assert.ok(!answer.body.includes('id: 2'));
});

test('a caller gets its own complete answer or none, wherever the answer is cut off', async () => {
	await using fleet = await GatewayFleet.create();
	const cuts = new Map<string, number>();
	await fleet.startRawWorker({
		id: 'desk-1',
		service: 'desk',
		answer({attempt, socket}) {
			const body = rawBody(attempt);
			const bytes = `${rawHead(attempt)}Content-Length: ${body.length}\r\n\r\n${body}`;
			const at = cuts.get(attempt)!;
			socket.write(bytes.slice(0, at));
			if (at < bytes.length) {
				socket.end();
			}
		},
	});
	const gateway = await fleet.startGateway('gateway-1');
	let calls = 0;
	await fc.assert(fc.asyncProperty(fc.nat({max: 160}), async at => {
		calls += 1;
		const attempt = `cut-${calls}`;
		cuts.set(attempt, at);
		const {status, body, whole} = await fleet.call(gateway, {path: '/status/1', attempt});
		assert.ok(status !== 200 || !whole || body === rawBody(attempt), `${at}: ${body}`);
	}), {numRuns: 500});
});

test('requests that are being received when a gateway gets SIGTERM are answered', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk', callMilliseconds: 30});
	const gateway = await fleet.startGateway('gateway-1');
	const [hostname, port] = gateway.callers.split(':');
	const callers = await Promise.all(Array.from({length: 20}, async (_unused, index) => {
		const socket = connect(Number(port), hostname);
		await once(socket, 'connect');
		let text = '';
		socket.on('data', (data: Uint8Array) => {
			text += new TextDecoder().decode(data);
		});
		socket.on('error', () => undefined);
		return {
			socket, attempt: `stop-${index}`, answer: () => text, closed: once(socket, 'close'),
		};
	}));
	for (const [index, {socket, attempt}] of callers.entries()) {
		socket.write(rawRequest({
			method: 'POST', path: '/status/1', attempt, bodyLength: 10,
		}) + (index % 2 === 0 ? 'whole body' : 'half '));
	}

	gateway.child.kill('SIGTERM');
	await delay(20);
	gateway.child.kill('SIGHUP');
	gateway.child.kill('SIGTERM');
	await delay(300);
	for (const [index, {socket}] of callers.entries()) {
		socket.write(index % 2 === 0 ? '' : 'body!');
	}

	await Promise.all(callers.map(async ({closed}) => closed));
	for (const {attempt, answer} of callers) {
		assert.match(answer(), /^HTTP\/1\.1 200 OK/v, attempt);
	}

	assert.equal(worker.runs.length, callers.length);
});
