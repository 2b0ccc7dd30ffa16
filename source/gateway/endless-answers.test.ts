import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	GatewayFleet, routeHost, workspaceKey, type CallerRequest, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {peakMegabytes} from '../testing/process-memory.ts';

/** Memory of the smallest host, in megabytes. */
const hostMegabytes = 186;

/** Time for which such requests come again, in milliseconds. */
const forMilliseconds = 3000;

/** Requests of others that must be served meanwhile. */
const othersServed = 6;

/** Requests that are answered without an end at a time, and as many as the smallest host has connections for. */
const [atOnce, mostAtOnce] = [150, 900];

const call: CallerRequest = {path: '/status/1'};
const once: CallerRequest = {path: '/deposits/1', method: 'POST'};
const draft: CallerRequest = {
	path: '/drafts/1', method: 'POST', body: 'notes', headers: {'x-azuretack-token-counts': '8000,120', 'x-azuretack-prompt-prefix': 'a1:200,b2:7800'},
};

/** The most memory that a gateway has had, in megabytes. */
async function peakOf({child}: GatewayProcess): Promise<number> {
	const peak = await peakMegabytes(child.pid!);
	assert.ok(peak !== undefined, 'the gateway has ended');
	return peak;
}

const loads = [
	...(['endless-body', 'endless-failure', 'endless-head'] as const).map(fault => ({fault, count: atOnce})),
	{fault: 'endless-body', count: mostAtOnce} as const,
];

for (const {fault, count} of loads) {
	for (const [service, request] of [['desk', call], ['desk', once], ['scribe', draft]] as const) {
		test(`${count} requests at once (${request.path}) with an ${fault} neither use up the memory nor look complete, and others are served`, async () => {
			await using fleet = await GatewayFleet.create();
			const worker = await fleet.startWorker({id: `${service}-1`, service});
			await fleet.startWorker({id: 'other-1', service: service === 'desk' ? 'scribe' : 'desk'});
			const gateway = await fleet.startGateway('gateway-1');
			worker.fault = fault;
			const ending = new AbortController();
			const until = performance.now() + forMilliseconds;
			const others: number[] = [];
			const endless = Array.from({length: count}, async () => {
				const seen = [];
				while (performance.now() < until || others.length < othersServed) {
					seen.push(await fleet.call(gateway, {...request, dropsBody: true, deadlineMilliseconds: 3000}));
				}

				return seen;
			});
			const serving = (async () => {
				while (!ending.signal.aborted) {
					const answer = await fleet.call(gateway, service === 'desk' ? draft : {path: '/status/other'});
					others.push(answer.status);
					await delay(100);
				}
			})();
			const seen = await Promise.all(endless);
			const answers = seen.flat();
			ending.abort();
			await serving;
			assert.ok(answers.every(({status, whole}) => !(status === 200 && whole)), 'none looks complete');
			const statuses = new Set(answers.filter(({whole}) => whole).map(({status}) => status));
			assert.ok([...statuses].every(status => [502, 503, 504].includes(status)), `refused with ${[...statuses].join(', ')}`);
			assert.ok(others.length >= othersServed && others.every(status => status === 200), `others got ${others.join(', ')}`);
			const peak = await peakOf(gateway);
			assert.ok(peak < hostMegabytes, `${peak} MB`);
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
	assert.ok(await peakOf(gateway) < hostMegabytes);
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
		socket.write(`GET /status/${index} HTTP/1.1\r\nHost: ${routeHost}\r\nAuthorization: Token ${workspaceKey}\r\nX-Azuretack-Attempt-Id: slow-${index}\r\nX-Azuretack-Deadline-Ms: 3000\r\n\r\n`);
		return socket;
	});
	await delay(1500);
	const peak = await peakOf(gateway);
	for (const socket of sockets) {
		socket.destroy();
	}

	assert.ok(peak < hostMegabytes, `${peak} MB`);
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
	const leaving = new AbortController();
	const answering = fleet.call(gateway, {
		...call, dropsBody: true, signal: leaving.signal, deadlineMilliseconds: 20_000,
	});
	await delay(1500);
	leaving.abort();
	const leftAt = performance.now();
	await answering;
	await fleet.until(() => worker.runs.every(({endedAt}) => endedAt !== undefined), 'the endpoint has stopped');
	assert.ok(worker.runs.length > 0);
	assert.ok(worker.runs.every(({endedAt}) => endedAt! < leftAt + 500));
});
