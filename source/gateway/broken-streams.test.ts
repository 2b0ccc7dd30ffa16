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
