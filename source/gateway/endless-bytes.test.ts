import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet, type CallerRequest} from '../testing/gateway-fleet.ts';
import {peakMegabytes, smallestHostMegabytes} from '../testing/process-memory.ts';
import {rawHead} from '../testing/stand-ins/raw-worker.ts';

/** Number of requests at a time, and the deadline of each in milliseconds. */
const load = {requests: 40, deadlineMilliseconds: 2000};

const filler = 'x'.repeat(4000);

/** Bytes without an end, by where they come: what comes first, and what comes again and again. */
const endlessBytes: Record<string, {first: (attempt: string) => string; again: string}> = {
	'in place of an answer': {first: () => '', again: filler},
	'as lines of a head': {first: attempt => rawHead(attempt), again: `X-Filler: ${filler}\r\n`},
	'as one line of a head': {first: attempt => `${rawHead(attempt)}X-Filler: `, again: filler},
	'as interim responses': {first: () => '', again: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)},
	'as the size of a chunk': {first: attempt => `${rawHead(attempt)}Transfer-Encoding: chunked\r\n\r\n1;x=`, again: filler},
	'as trailers': {first: attempt => `${rawHead(attempt)}Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n`, again: `X-Filler: ${filler}\r\n`},
};

/** Sends bytes until the connection is closed. */
function flood(socket: Socket, bytes: string): void {
	if (socket.destroyed) {
		return;
	}

	const again = () => {
		flood(socket, bytes);
	};

	if (socket.write(bytes)) {
		setImmediate(again);
	} else {
		socket.once('drain', again);
	}
}

const requests: Array<[string, string, CallerRequest]> = [
	['calls that may be repeated', 'desk', {path: '/status/1'}],
	['calls to be run once', 'desk', {path: '/deposits/1', method: 'POST'}],
	['streams', 'scribe', {path: '/drafts/1', method: 'POST', headers: {'x-azuretack-token-counts': '80,12'}}],
];

// The process that had called a faulty endpoint kept bytes without an end and ran out of memory, and requests of others ended with it.
for (const [place, {first, again}] of Object.entries(endlessBytes)) {
	for (const [name, service, request] of requests) {
		test(`bytes without an end ${place} to ${name} neither use up the memory nor look complete, and others are served`, async () => {
			await using fleet = await GatewayFleet.create();
			await fleet.startRawWorker({
				id: `${service}-1`,
				service,
				answer({attempt, socket}) {
					socket.write(first(attempt));
					flood(socket, again);
				},
			});
			await fleet.startWorker({id: 'other-1', service: service === 'desk' ? 'scribe' : 'desk'});
			const gateway = await fleet.startGateway('gateway-1');
			const answering = Array.from({length: load.requests}, async () => fleet.call(gateway, {...request, deadlineMilliseconds: load.deadlineMilliseconds, dropsBody: true}));
			for (let other = 0; other < 5; other += 1) {
				const {status} = await (service === 'desk' ? fleet.draft(gateway) : fleet.call(gateway, {path: '/status/other'}));
				assert.equal(status, 200);
				await delay(100);
			}

			for (const {status, whole} of await Promise.all(answering)) {
				assert.ok(!(status === 200 && whole), `${status}`);
				assert.notEqual(status, 0);
			}

			const peak = await peakMegabytes(gateway.child.pid!);
			assert.ok(peak !== undefined && peak < smallestHostMegabytes, `${peak} MB`);
			assert.equal(gateway.child.exitCode, null);
		});
	}
}
