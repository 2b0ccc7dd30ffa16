import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet, type CallerRequest, type GatewayProcess} from '../testing/gateway-fleet.ts';
import {type WorkerArrival} from '../testing/stand-ins/worker-options.ts';
import {type WorkerStandIn} from '../testing/stand-ins/worker-stand-in.ts';

/** Time within which a gateway must stop sending requests to an endpoint after it forwarded an answer that announces its leaving, in milliseconds. */
const leavingGraceMilliseconds = 2000;

/** Time within which a gateway must stop sending requests to an endpoint after a refusal with a retry delay, in milliseconds. */
const backoffGraceMilliseconds = 500;

/** Maximum number of requests that an endpoint may still get from one gateway during its backoff. */
const maximumDuringBackoff = 2;

const draft: CallerRequest = {
	path: '/drafts/1', method: 'POST', body: 'notes', headers: {'x-azuretack-token-counts': '8000,120'},
};

/** A request with its result as seen by the caller. */
type SentRequest = {attempt: string; gateway: string; sentAt: number; answeredAt: number; status: number; announcesLeaving: boolean; retryAfter: string | undefined};

/** Sends requests to all gateways at a constant rate, and records the results. */
class SteadyCallers {
	readonly sent: SentRequest[] = [];
	readonly #fleet: GatewayFleet;
	#number = 0;

	constructor(fleet: GatewayFleet) {
		this.#fleet = fleet;
	}

	async run(request: CallerRequest, {callers, forMilliseconds}: {callers: number; forMilliseconds: number}): Promise<void> {
		const until = performance.now() + forMilliseconds;
		const gateways = [...this.#fleet.gateways.values()];
		await Promise.all(gateways.flatMap(gateway => Array.from({length: callers}, async () => {
			while (performance.now() < until) {
				await this.#send(gateway, request);
				await delay(20);
			}
		})));
	}

	async #send(gateway: GatewayProcess, request: CallerRequest): Promise<void> {
		this.#number += 1;
		const attempt = `steady-${this.#number}`;
		const sentAt = performance.now();
		const answer = await this.#fleet.call(gateway, {...request, attempt, headers: {...request.headers, 'x-azuretack-prompt-prefix': `${this.#number.toString(16)}:8000`}});
		this.sent.push({
			attempt,
			gateway: gateway.name,
			sentAt,
			answeredAt: performance.now(),
			status: answer.status,
			announcesLeaving: answer.headers['server-leaving'] === '1',
			retryAfter: answer.headers['retry-after']?.toString(),
		});
	}
}

/** Returns the requests that reached a worker although they were sent after the gateway had to know of its leaving. */
function findLateRequests(sent: readonly SentRequest[], arrivals: readonly WorkerArrival[]): SentRequest[] {
	const reached = new Set(arrivals.map(({attempt}) => attempt));
	const announcedAt = new Map<string, number>();
	for (const {gateway, answeredAt, announcesLeaving} of sent) {
		if (announcesLeaving) {
			announcedAt.set(gateway, Math.min(answeredAt, announcedAt.get(gateway) ?? Number.POSITIVE_INFINITY));
		}
	}

	return sent.filter(({attempt, gateway, sentAt}) => reached.has(attempt) && sentAt > (announcedAt.get(gateway) ?? Number.POSITIVE_INFINITY) + leavingGraceMilliseconds);
}

for (const [service, request] of [['desk', {path: '/status/1'}], ['scribe', draft]] as const) {
	test(`an endpoint of ${service} that announces its leaving in answers gets no more requests, and its next incarnation does`, async () => {
		await using fleet = await GatewayFleet.create();
		const workers = await Promise.all([1, 2, 3].map(async index => fleet.startWorker({id: `${service}-${index}`, service})));
		await Promise.all([1, 2].map(async index => fleet.startGateway(`gateway-${index}`)));
		const callers = new SteadyCallers(fleet);
		const [leaving] = workers as [WorkerStandIn];
		await callers.run(request, {callers: 4, forMilliseconds: 1000});
		assert.ok(leaving.arrivals.length > 0, 'the endpoint is used');
		leaving.saysLeaving = true;
		const leavingAt = performance.now();
		await callers.run(request, {callers: 4, forMilliseconds: 5000});
		assert.equal(findLateRequests(callers.sent, leaving.arrivals).length, 0);
		const reached = new Set(leaving.arrivals.map(({attempt}) => attempt));
		assert.equal(callers.sent.filter(({attempt, sentAt}) => reached.has(attempt) && sentAt > leavingAt + leavingGraceMilliseconds).length, 0);
		leaving.crash();
		leaving.saysLeaving = false;
		await leaving.listen();
		fleet.store.put('servers', leaving.options.id, leaving.entry());
		const before = leaving.runs.length;
		await callers.run(request, {callers: 4, forMilliseconds: 3000});
		assert.ok(leaving.runs.length > before, 'the next incarnation is used');
	});
}

test('all gateways stop using an endpoint that announces its leaving to one of them', async () => {
	await using fleet = await GatewayFleet.create();
	const leaving = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	await fleet.startWorker({id: 'desk-2', service: 'desk'});
	const [first, second] = [await fleet.startGateway('gateway-1'), await fleet.startGateway('gateway-2')];
	leaving.saysLeaving = true;
	await fleet.until(async () => {
		const answer = await fleet.call(first, {path: '/status/1'});
		return answer.headers['server-leaving'] === '1';
	}, 'the first gateway forwards the announcement');
	await delay(4000);
	const before = leaving.arrivals.length;
	for (let index = 0; index < 20; index += 1) {
		await fleet.call(second, {path: `/status/${index}`});
	}

	assert.equal(leaving.arrivals.length, before);
});

/** Returns the maximum number of requests that reached a worker from one gateway during a backoff that the worker requested. */
function countDuringBackoff(sent: readonly SentRequest[], arrivals: readonly WorkerArrival[], seconds: number): number {
	const gatewayOf = new Map(sent.map(({attempt, gateway}) => [attempt, gateway]));
	return Math.max(...arrivals.map(({attempt, at}) => arrivals.filter(other =>
		gatewayOf.get(other.attempt) === gatewayOf.get(attempt) && other.at > at + backoffGraceMilliseconds && other.at < at + (seconds * 1000)).length));
}

const backoffCases = [
	['desk', {path: '/status/1'}, 1],
	['desk', {path: '/deposits/1', method: 'POST'}, 1],
	['desk', {path: '/status/1'}, 4],
	['scribe', draft, 1],
	['scribe', draft, 4],
] as const;
for (const [service, request, count] of backoffCases) {
	test(`${count} endpoints of ${service} that request a backoff get no requests during it (${request.path}), even under a burst`, async () => {
		await using fleet = await GatewayFleet.create();
		const seconds = 3;
		const workers = await Promise.all(Array.from({length: count}, async (_unused, index) => fleet.startWorker({id: `${service}-${index + 1}`, service})));
		await Promise.all([1, 2].map(async index => fleet.startGateway(`gateway-${index}`)));
		for (const worker of workers) {
			worker.backoffSeconds = seconds;
		}

		const callers = new SteadyCallers(fleet);
		await callers.run(request, {callers: 8, forMilliseconds: 5000});
		for (const {arrivals} of workers) {
			assert.ok(arrivals.length > 0);
			const received = countDuringBackoff(callers.sent, arrivals, seconds);
			assert.ok(received <= maximumDuringBackoff, `${received} requests`);
		}

		const refused = callers.sent.filter(({sentAt}) => sentAt > callers.sent[0]!.sentAt + backoffGraceMilliseconds);
		assert.ok(refused.every(({status, retryAfter}) => status === 503 && Number(retryAfter) > 0 && Number(retryAfter) <= seconds));
	});
}
