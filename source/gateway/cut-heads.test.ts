import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet, type CallerRequest} from '../testing/gateway-fleet.ts';
import {rawHead} from '../testing/stand-ins/raw-worker.ts';

/** Heads of answers, without the empty line that ends them, by how the body would be framed. */
const framings: Record<string, string> = {
	'a length': 'Content-Length: 9\r\n',
	chunks: 'Transfer-Encoding: chunked\r\n',
	neither: 'Content-Type: text/event-stream\r\n',
};

const requests: Record<string, {service: string; request: CallerRequest}> = {
	'a call that may be repeated': {service: 'desk', request: {path: '/status/1'}},
	'a call to be run once': {service: 'desk', request: {path: '/deposits/1', method: 'POST', body: 'once'}},
	'a stream': {service: 'scribe', request: {path: '/drafts/1', method: 'POST', headers: {'x-azuretack-token-counts': '80,12'}}},
};

// Callers got a success with an empty body, framed as whole, when an endpoint stopped in the middle of its answer's head.
for (const [name, {service, request}] of Object.entries(requests)) {
	for (const [framing, header] of Object.entries(framings)) {
		test(`a head with ${framing} that is cut off at any byte does not reach the caller of ${name} as a success`, async () => {
			await using fleet = await GatewayFleet.create();
			const cuts = new Map<string, number>();
			const headOf = (attempt: string) => `${rawHead(attempt)}${header}\r`;
			await fleet.startRawWorker({
				id: `${service}-1`,
				service,
				answer({attempt, socket}) {
					socket.end(headOf(attempt).slice(0, cuts.get(attempt)));
				},
			});
			const gateway = await fleet.startGateway('gateway-1');
			for (let at = 0; at <= headOf('cut-100').length; at += 1) {
				const attempt = `cut-${at + 100}`;
				cuts.set(attempt, at);
				const {status} = await fleet.call(gateway, {...request, attempt});
				assert.ok([502, 503, 504].includes(status), `${at}: ${status}`);
				assert.ok(status !== 503, `${at}: it may have run`);
			}
		});
	}
}

test('a stream that ends with its connection before its first event does not reach the caller as complete', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startRawWorker({
		id: 'scribe-1',
		service: 'scribe',
		answer({attempt, socket}) {
			socket.end(`${rawHead(attempt)}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`);
		},
	});
	const gateway = await fleet.startGateway('gateway-1');
	const {status, whole} = await fleet.draft(gateway);
	assert.ok(status !== 200 || !whole, `${status}`);
});
