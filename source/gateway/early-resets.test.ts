import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {GatewayFleet, type CallerRequest} from '../testing/gateway-fleet.ts';
import {rawBody, rawHead} from '../testing/stand-ins/raw-worker.ts';

/** Body that is still being written when the endpoint answers; within the limit of the configuration. */
const upload = 'u'.repeat(4_000_000);

/** Pauses before the reset, in milliseconds. */
const pauses = [0, 1, 5, 20, 60];

const requests: Array<[string, string, CallerRequest]> = [
	['a call that may be repeated', 'desk', {path: '/status/1', method: 'PUT', body: upload}],
	['a call to be run once', 'desk', {path: '/deposits/1', method: 'POST', body: upload}],
	['a stream', 'scribe', {
		path: '/drafts/1', method: 'POST', body: upload, headers: {'x-azuretack-token-counts': '80,12'},
	}],
];

/** How the connection ends: by a reset, closed with bytes unread, or by an end that a reset follows. */
const ends: Record<string, (socket: Socket) => void> = {
	reset(socket) {
		socket.resetAndDestroy();
	},
	closed(socket) {
		socket.destroy();
	},
	ended(socket) {
		socket.end();
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 5);
	},
};

/** Beginnings of the body: a short one, and one that is too large to be held until it is whole. */
const beginnings: Record<string, (attempt: string) => string> = {
	'a part': attempt => `id: 1\ndata: ${rawBody(attempt)}\n\n`,
	'a large part': attempt => `id: 1\ndata: ${rawBody(attempt).repeat(20_000)}\n\n`,
};

// On other systems, the part of an answer without a length that came before a reset reached the caller as a complete answer.
for (const [name, service, request] of requests) {
	for (const [size, beginning] of Object.entries(beginnings)) {
		test(`${size} of an answer without a length whose connection ends while the upload is written does not look complete to ${name}`, async () => {
			await using fleet = await GatewayFleet.create();
			const endOf = new Map<string, {pause: number; end: (socket: Socket) => void}>();
			await fleet.startRawWorker({
				id: `${service}-1`,
				service,
				answer({attempt, socket}) {
					// The rest of the upload is not read, so that it is still being written at the reset.
					socket.pause();
					socket.write(`${rawHead(attempt)}Content-Type: text/event-stream\r\n\r\n${beginning(attempt)}`);
					const {pause, end} = endOf.get(attempt)!;
					setTimeout(() => {
						end(socket);
					}, pause);
				},
			});
			const gateway = await fleet.startGateway('gateway-1');
			for (const [kind, end] of Object.entries(ends)) {
				for (const pause of pauses) {
					const attempt = `${kind}-after-${pause}`;
					endOf.set(attempt, {pause, end});
					const {status, whole} = await fleet.call(gateway, {...request, attempt, deadlineMilliseconds: 2000});
					assert.ok(!(status === 200 && whole), `${attempt}: complete with status 200`);
				}
			}
		});
	}
}
