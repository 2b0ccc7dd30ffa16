import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {sendCall, type CallerAnswer} from '../testing/call.ts';
import {EndingFleet, endingBody} from '../testing/ending-fleet.ts';
import {routeHost} from '../testing/gateway-fleet.ts';
import {InProcessGateway, routeTimeoutMilliseconds, type ReplacedParts} from '../testing/in-process-gateway.ts';
import {rawAnswer} from '../testing/stand-ins/raw-worker.ts';
import {type WorkerArrival, type WorkerFault} from '../testing/stand-ins/worker-options.ts';

/** Time after the timeout of its route within which a request must have its final answer, in milliseconds; beyond what a bare server takes meanwhile, so that a busy machine does not decide. */
const answerMilliseconds = 100;

/** A time that no request waits for, in milliseconds. */
const endlessMilliseconds = 3000;

const bareServer = createServer((request, response) => {
	request.resume();
	setTimeout(() => {
		response.end();
	}, Number(request.url!.slice(1)));
});
bareServer.listen(0, '127.0.0.1').unref();
await once(bareServer, 'listening');

/** Returns the time that a call takes now which a bare server answers after a time, in milliseconds. */
async function bareServerMilliseconds(milliseconds: number): Promise<number> {
	const {port} = bareServer.address() as AddressInfo;
	const sentAt = performance.now();
	const {status} = await sendCall(`127.0.0.1:${port}`, {path: `/${milliseconds}`, method: 'POST', body: 'notes'});
	assert.equal(status, 200);
	return performance.now() - sentAt;
}

const decision = {
	allowed: true, requests: 1, retries: 0, limit: 1, borrowed: 0,
};

/** A retry budget that allows some retries at once and each later one after a time. */
function slowBudget(milliseconds: number, atOnce = 0): ReplacedParts {
	let taken = 0;
	return {
		retryBudgetOf: () => ({
			countRequest: () => undefined,
			async take() {
				taken += 1;
				await delay(taken > atOnce ? milliseconds : 0, undefined, {ref: false});
				return decision;
			},
		}),
	};
}

/** A limiter that grants some permits at once and each later one after a time. */
function slowLimiter(milliseconds: number, atOnce = 0): ReplacedParts {
	let taken = 0;
	return {
		limiter: {
			usable: <Endpoint>(endpoints: Endpoint) => endpoints,
			refused: () => [],
			returnDelay: () => undefined,
			observe: () => undefined,
			async acquire() {
				taken += 1;
				await delay(taken > atOnce ? milliseconds : 0, undefined, {ref: false});
				return true;
			},
		},
	};
}

function slowCrashCheck(milliseconds: number): ReplacedParts {
	return {crashDetector: {checkForCrash: async () => delay(milliseconds, undefined, {ref: false}), watchList: () => undefined}};
}

/** Suspects that admit a request at once for some times, and then after a time; between the two it counts as refused. */
function slowAdmission(milliseconds: number, {atOnce = 0, kind = 'free', reverted = []}: {atOnce?: number; kind?: string; reverted?: unknown[]} = {}): ReplacedParts {
	let admitted = 0;
	return {
		suspects: {
			isRefused: () => admitted === 1 && atOnce === 1,
			async admit() {
				admitted += 1;
				await delay(admitted > atOnce ? milliseconds : 0, undefined, {ref: false});
				return {kind};
			},
			async revertTrial(identity: unknown) {
				reverted.push(identity);
			},
			recordSuccess: async () => undefined,
			recordServedParts: async () => undefined,
			recordCrash: async () => undefined,
			clear: async () => undefined,
		},
	};
}

type Wait = {kinds: string[]; fault: WorkerFault; after: (milliseconds: number) => ReplacedParts};

const allKinds = ['idempotent', 'non_idempotent', 'stream'];

/** Where a request waits for a part that may be slow, and what its endpoints do so that it gets there. */
const waits: Record<string, Wait> = {
	'its admission': {kinds: allKinds, fault: 'none', after: milliseconds => slowAdmission(milliseconds)},
	'its second admission': {kinds: ['stream'], fault: 'none', after: milliseconds => slowAdmission(milliseconds, {atOnce: 1})},
	'a permit of its first endpoint': {kinds: allKinds, fault: 'none', after: milliseconds => slowLimiter(milliseconds)},
	'a permit of another endpoint': {kinds: allKinds, fault: 'full', after: milliseconds => ({...slowBudget(0), ...slowLimiter(milliseconds, 1)})},
	'a retry': {kinds: allKinds, fault: 'full', after: milliseconds => slowBudget(milliseconds)},
	'a check for a crash': {kinds: allKinds, fault: 'break', after: milliseconds => ({...slowBudget(0), ...slowCrashCheck(milliseconds)})},
};

const cases = Object.entries(waits).flatMap(([name, {kinds, ...wait}]) => kinds.map(kind => ({name, kind, ...wait})));

/** Starts a gateway before three endpoints with a fault; returns what reaches them. */
async function startWaiting({kind, fault}: {kind: string; fault: WorkerFault}, replaced: ReplacedParts): Promise<{gateway: InProcessGateway; arrivals: WorkerArrival[]}> {
	const gateway = await InProcessGateway.start(replaced);
	const arrivals: WorkerArrival[] = [];
	const service = kind === 'stream' ? 'scribe' : 'desk';
	for (const id of [1, 2, 3]) {
		const worker = await gateway.startWorker({id: `${service}-${id}`, service, arrivals});
		worker.fault = fault;
	}

	return {gateway, arrivals};
}

async function send(gateway: InProcessGateway, kind: string, signal = AbortSignal.timeout(endlessMilliseconds)): Promise<CallerAnswer & {milliseconds: number}> {
	const sentAt = performance.now();
	const tokens = kind === 'stream' ? {'x-azuretack-token-counts': '8000,120'} : undefined;
	const answer = await sendCall(gateway.address, {
		path: `/${kind}/1`, method: 'POST', body: 'notes', headers: {host: routeHost, 'x-azuretack-attempt-id': 'attempt-1', ...tokens}, signal,
	});
	return {...answer, milliseconds: performance.now() - sentAt};
}

for (const {name, kind, after, ...rest} of cases) {
	test(`a request (${kind}) that waits for ${name} has its final answer at the timeout of its route, and is not sent later`, async () => {
		const {gateway, arrivals} = await startWaiting({kind, ...rest}, after(routeTimeoutMilliseconds + 250));
		await using _gateway = gateway;
		const bareAnswer = bareServerMilliseconds(routeTimeoutMilliseconds);
		const answer = await send(gateway, kind);
		const {length} = arrivals;
		assert.ok(answer.milliseconds <= await bareAnswer + answerMilliseconds, `${answer.milliseconds} ms`);
		const isCutStream = kind === 'stream' && answer.status === 200 && !answer.whole;
		assert.ok(isCutStream || [502, 503, 504].includes(answer.status), `status ${answer.status}`);
		assert.equal(answer.status === 503, rest.fault !== 'break', 'only a request that was not run is refused');
		await delay(450);
		assert.equal(arrivals.length, length);
		assert.ok(kind !== 'non_idempotent' || length <= 1);
	});

	test(`a request (${kind}) whose caller leaves while it waits for ${name} is not sent to an endpoint any more`, async () => {
		const {gateway, arrivals} = await startWaiting({kind, ...rest}, after(300));
		await using _gateway = gateway;
		await send(gateway, kind, AbortSignal.timeout(120));
		const {length} = arrivals;
		await delay(450);
		assert.equal(arrivals.length, length);
	});
}

test('a trial that was granted too late is reverted, as it does not run', async () => {
	const reverted: unknown[] = [];
	const {gateway, arrivals} = await startWaiting({kind: 'idempotent', fault: 'none'}, slowAdmission(routeTimeoutMilliseconds + 100, {kind: 'trial', reverted}));
	await using _gateway = gateway;
	const answer = await send(gateway, 'idempotent');
	await delay(250);
	assert.deepEqual([answer.status, arrivals.length, reverted.length], [503, 0, 1]);
});

test('a trial whose caller has left before it ran is reverted', async () => {
	const reverted: unknown[] = [];
	const {gateway, arrivals} = await startWaiting({kind: 'idempotent', fault: 'none'}, slowAdmission(200, {kind: 'trial', reverted}));
	await using _gateway = gateway;
	await send(gateway, 'idempotent', AbortSignal.timeout(100));
	await delay(250);
	assert.deepEqual([arrivals.length, reverted.length], [0, 1]);
});

/** Starts a gateway whose endpoints answer by the order of arrival, each after a time in milliseconds; a negative one means that the connection is reset. */
async function startOrdered(times: number[], replaced: ReplacedParts): Promise<InProcessGateway> {
	const gateway = await InProcessGateway.start(replaced);
	const left = [...times];
	for (const id of [1, 2, 3]) {
		await gateway.startRawWorker({
			id: `desk-${id}`,
			service: 'desk',
			answer({attempt, socket}) {
				const time = left.shift() ?? endlessMilliseconds;
				setTimeout(() => {
					if (time < 0) {
						socket.resetAndDestroy();
					} else {
						socket.write(rawAnswer(attempt));
					}
				}, Math.abs(time)).unref();
			},
		});
	}

	return gateway;
}

const endless = endlessMilliseconds;

/** Answers that are ready while the call waits for something else: the times of its attempts, and what it waits for. */
const readyAnswers: Record<string, {times: number[]; replaced: () => ReplacedParts}> = {
	'the first attempt, while the permit of a hedge is waited for': {times: [150], replaced: () => slowBudget(endless)},
	'the first attempt, while the endpoint of a hedge is waited for': {times: [150], replaced: () => ({...slowBudget(0), ...slowLimiter(endless, 1)})},
	'a hedge, while a retry is waited for': {times: [-100, 100], replaced: () => slowBudget(endless, 1)},
	'a hedge, while the endpoint of a retry is waited for': {times: [-100, 100], replaced: () => ({...slowBudget(0), ...slowLimiter(endless, 2)})},
	'a hedge, while a crash of the first endpoint is checked': {times: [-100, 100], replaced: () => ({...slowBudget(0), ...slowCrashCheck(endless)})},
};

for (const [name, {times, replaced}] of Object.entries(readyAnswers)) {
	test(`the answer of ${name}, reaches the caller at once`, async () => {
		await using gateway = await startOrdered(times, replaced());
		const bareAnswer = bareServerMilliseconds(150);
		const answer = await send(gateway, 'idempotent');
		assert.deepEqual([answer.status, answer.whole], [200, true]);
		assert.ok(answer.milliseconds < await bareAnswer + answerMilliseconds, `${answer.milliseconds} ms`);
	});
}

/** Timeout of the route of calls in fleets, in milliseconds. */
const fleetTimeoutMilliseconds = 800;

/** Time after the last crash from which a refused call is tried again, with a margin, in milliseconds. */
const trialMilliseconds = 2300;

for (const fault of ['slow', 'silent'] as const) {
	test(`a call whose trial is claimed from a store that is ${fault} has its answer at the timeout of its route, and is not sent later`, async () => {
		await using crashFleet = await EndingFleet.create({service: 'desk', gateways: 1, workers: 8});
		const {fleet, gateways: [gateway], ends} = crashFleet;
		const call = {path: '/status/1', method: 'POST', body: endingBody};
		await fleet.until(async () => {
			await fleet.call(gateway!, call);
			return ends.length >= 3;
		}, 'the call has crashed three endpoints');
		fleet.store.fault = fault;
		await delay(trialMilliseconds);
		const {length} = ends;
		const sentAt = performance.now();
		const bareAnswer = bareServerMilliseconds(fleetTimeoutMilliseconds);
		const answer = await fleet.call(gateway!, call);
		const milliseconds = performance.now() - sentAt;
		assert.equal(answer.status, 503);
		assert.ok(milliseconds <= await bareAnswer + answerMilliseconds, `${milliseconds} ms`);
		await delay(trialMilliseconds);
		assert.equal(ends.length, length);
	});
}

test('a call whose body is whole only after the timeout of its route is refused at once, and not sent', async () => {
	const {gateway, arrivals} = await startWaiting({kind: 'non_idempotent', fault: 'none'}, {});
	await using _gateway = gateway;
	const [host, port] = gateway.address.split(':');
	const socket = connect({host, port: Number(port)});
	socket.write(`POST /non_idempotent/1 HTTP/1.1\r\nHost: ${routeHost}\r\nX-Azuretack-Attempt-Id: attempt-1\r\nContent-Length: 5\r\n\r\nnote`);
	await delay(routeTimeoutMilliseconds + 50);
	const completedAt = performance.now();
	const bareAnswer = bareServerMilliseconds(0);
	socket.write('s');
	const [head] = await once(socket, 'data', {signal: AbortSignal.timeout(endlessMilliseconds)}) as [Uint8Array];
	assert.match(new TextDecoder().decode(head), /^HTTP\/1\.1 503 /v);
	const milliseconds = performance.now() - completedAt;
	assert.ok(milliseconds < await bareAnswer + answerMilliseconds, `${milliseconds} ms`);
	assert.equal(arrivals.length, 0);
	socket.destroy();
});
