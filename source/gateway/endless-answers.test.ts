import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {endlessRequests, playEndlessAnswers} from '../testing/endless-load.ts';
import {
	GatewayFleet, rawRequest, routeHost, type CallerRequest, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {peakMegabytes, smallestHostMegabytes} from '../testing/process-memory.ts';

/** Number of concurrent requests with an endless answer. */
const concurrentRequests = 150;

const call: CallerRequest = {path: '/status/1'};

/** Returns the peak memory of a gateway process, in megabytes. */
async function peakMemoryOf({child}: GatewayProcess): Promise<number> {
	const peak = await peakMegabytes(child.pid!);
	assert.ok(peak !== undefined, 'the gateway process has exited');
	return peak;
}

for (const fault of ['endless-body', 'endless-failure', 'endless-head'] as const) {
	for (const [name, {service, request}] of Object.entries(endlessRequests)) {
		test(`${concurrentRequests} times ${name} with an ${fault} at once: neither is the memory used up nor does one look complete, and others are served`, async () => {
			assert.deepEqual(await playEndlessAnswers({
				fault, count: concurrentRequests, service, request,
			}), []);
		});
	}
}

test('reports without an end are left, and do not use up the memory', async () => {
	await using fleet = await GatewayFleet.create();
	const endless = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
	await fleet.startWorker({id: 'scribe-2', service: 'scribe'});
	const gateway = await fleet.startGateway('gateway-1');
	endless.reportsEndlessly = true;
	const answers = await Promise.all(Array.from({length: 40}, async () => fleet.draft(gateway)));
	assert.ok(answers.every(({status, whole}) => status === 200 && whole));
	assert.ok(await peakMemoryOf(gateway) < smallestHostMegabytes);
});

test('a large answer arrives whole, and callers that do not read bound what is read for them', async () => {
	await using fleet = await GatewayFleet.create();
	const large = 'x'.repeat(8_000_000);
	await fleet.startWorker({id: 'desk-1', service: 'desk', answerOf: () => large});
	const gateway = await fleet.startGateway('gateway-1');
	const answer = await fleet.call(gateway, call);
	assert.equal(answer.body.length, large.length);
	const [hostname, port] = gateway.callers.split(':');
	const sockets = Array.from({length: 100}, (_unused, index): Socket => {
		const socket = connect(Number(port), hostname);
		socket.write(rawRequest({method: 'GET', path: `/status/${index}`, attempt: `slow-${index}`}));
		return socket;
	});
	await delay(1500);
	const peak = await peakMemoryOf(gateway);
	for (const socket of sockets) {
		socket.destroy();
	}

	assert.ok(peak < smallestHostMegabytes, `${peak} MB`);
});

test('a caller that leaves in the middle of an answer without an end ends it at the endpoint', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	fleet.configure({
		version: 2, routes: [{
			name: 'status', host: routeHost, prefix: '/status/', kind: 'idempotent', timeoutMs: 20_000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 2,
		}],
	});
	await delay(2500);
	worker.fault = 'endless-body';
	const abortController = new AbortController();
	const answering = fleet.call(gateway, {
		...call, dropsBody: true, signal: abortController.signal, deadlineMilliseconds: 20_000,
	});
	await delay(1500);
	abortController.abort();
	const disconnectedAt = performance.now();
	await answering;
	await fleet.until(() => worker.runs.every(({endedAt}) => endedAt !== undefined), 'the endpoint has stopped');
	assert.ok(worker.runs.length > 0);
	assert.ok(worker.runs.every(({endedAt}) => endedAt! < disconnectedAt + 500));
});
