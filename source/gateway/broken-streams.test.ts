import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet, eventsOf, expectedEvents} from '../testing/gateway-fleet.ts';
import {rawHead} from '../testing/stand-ins/raw-worker.ts';

/** Bytes of the first events of a stream. */
function streamOf(events: number): string {
	return expectedEvents(events).map((text, index) => `id: ${index + 1}\ndata: ${text}\n\n`).join('');
}

const streamHead = 'Content-Type: text/event-stream\r\nConnection: close\r\n';

/** A whole answer that refuses another request. */
const refusal = 'HTTP/1.1 503 Service Unavailable\r\nX-Azuretack-Attempt-Id: other\r\nX-Azuretack-Not-Executed: 1\r\nContent-Length: 17\r\n\r\n{"error":"full"}\n';

test('a stream with neither length nor chunks that ends at any byte reaches its caller in whole events, and as complete only between two', async () => {
	const stream = streamOf(3);
	const ends = Array.from({length: stream.length}, (_unused, index) => index + 1);
	const sent = new Map<string, number>();
	await using fleet = await GatewayFleet.create();
	await fleet.startRawWorker({
		id: 'scribe-1',
		service: 'scribe',
		answer({attempt, socket}) {
			socket.end(`${rawHead(attempt)}${streamHead}\r\n${stream.slice(0, sent.get(attempt))}`);
		},
	});
	const gateway = await fleet.startGateway('gateway-1');
	for (const end of ends) {
		const attempt = `cut-at-${end}`;
		sent.set(attempt, end);
		const {body, whole} = await fleet.draft(gateway, {attempt});
		const events = stream.slice(0, end).split('\n\n').length - 1;
		assert.deepEqual(eventsOf(body), expectedEvents(events), attempt);
		assert.equal(whole && body !== '', stream.slice(0, end) === streamOf(events), attempt);
	}
});

const framings: Record<string, (bytes: string[]) => string> = {
	'neither length nor chunks': parts => `\r\n${parts.join('')}`,
	'chunks, as one of them': parts => `Transfer-Encoding: chunked\r\n\r\n${parts.map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('')}`,
	'chunks, in place of one': ([before, text, after]) => `Transfer-Encoding: chunked\r\n\r\n${before!.length.toString(16)}\r\n${before}\r\n${text}${after}`,
};

for (const [name, frame] of Object.entries(framings)) {
	for (const events of [1, 2]) {
		test(`a refusal written after event ${events} of a stream with ${name} does not reach the caller`, async () => {
			await using fleet = await GatewayFleet.create();
			await fleet.startRawWorker({
				id: 'scribe-1',
				service: 'scribe',
				answer({attempt, socket}) {
					const stream = streamOf(4);
					const before = streamOf(events);
					socket.end(`${rawHead(attempt)}${streamHead}${frame([before, refusal, stream.slice(before.length)])}`);
				},
			});
			const gateway = await fleet.startGateway('gateway-1');
			const {status, body, whole} = await fleet.draft(gateway);
			assert.equal(status, 200);
			assert.equal(body, streamOf(events));
			assert.equal(whole, false);
		});
	}
}

/** Time within which a caller's connection must be closed once its stream can't go on, in milliseconds. */
const closeMilliseconds = 1500;

// A stream that had begun was neither ended nor closed when the next engine answered with a status from 201 to 499.
for (const status of ['201 Created', '204 No Content', '302 Found', '400 Bad Request', '404 Not Found', '499 Odd']) {
	for (const engines of [2, 3]) {
		test(`a stream that broke off ${engines === 2 ? 'is closed at once' : 'goes on at a third engine'} when the next one answers ${status}`, async () => {
			const asked: string[] = [];
			const answers: Array<(attempt: string) => string> = [
				attempt => `${rawHead(attempt)}${streamHead}Transfer-Encoding: chunked\r\n\r\n${streamOf(2).length.toString(16)}\r\n${streamOf(2)}\r\n`,
				attempt => `${rawHead(attempt, status)}Connection: close\r\n${status.startsWith('204') ? '' : 'Content-Length: 4\r\n'}\r\n${status.startsWith('204') ? '' : 'gone'}`,
				attempt => `${rawHead(attempt)}${streamHead}\r\n${streamOf(4).slice(streamOf(2).length)}`,
			];
			await using fleet = await GatewayFleet.create();
			for (let number = 1; number <= engines; number += 1) {
				await fleet.startRawWorker({
					id: `scribe-${number}`,
					service: 'scribe',
					answer({attempt, socket}) {
						socket.end(answers[asked.length]!(attempt));
						asked.push(attempt);
					},
				});
			}

			const gateway = await fleet.startGateway('gateway-1');
			const {status: answered, body, whole} = await fleet.draft(gateway, {signal: AbortSignal.timeout(closeMilliseconds)});
			assert.equal(answered, 200);
			assert.deepEqual(eventsOf(body), expectedEvents(engines === 2 ? 2 : 4));
			assert.equal(whole, engines === 3);
			assert.equal(asked.length, engines);
		});
	}
}
