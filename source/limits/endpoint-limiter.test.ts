import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type EndpointEntry, type IncarnationState} from '../registry/mod.ts';
import {readClock} from '../clocks/mod.ts';
import {
	EndpointLimiter, type LeaseOutcome, type NamedLimit, type PermitHolder, type PermitReply, type PermitRequest,
} from './mod.ts';

const endpoint: EndpointEntry = {
	id: 'desk-1', service: 'desk', address: '127.0.0.1:1', availabilityZone: 'zone-a', slots: 6, leaving: false, startedAt: 1,
};
const request = {importance: 1, requestName: 'a'};
const named = (requestsPerSecond: number): NamedLimit => ({kind: 'limit', requestsPerSecond});

/** Leases of one endpoint that all limiters of a test share. */
class SharedLease {
	holder: PermitHolder | undefined;
	isUp = true;
	/** Steady time until which a lease that the store has lost may be in use, in milliseconds. */
	uncertainUntil = 0;
	removals = 0;

	of(self: PermitHolder) {
		return {
			acquire: async ({endedHolder}: {endedHolder?: PermitHolder}): Promise<LeaseOutcome> => {
				if (!this.isUp) {
					return {kind: 'failed', reason: 'down'};
				}

				if (performance.now() < this.uncertainUntil) {
					return {kind: 'uncertain', remainingMilliseconds: this.uncertainUntil - performance.now()};
				}

				if (this.holder && this.holder !== endedHolder && this.holder.name !== self.name) {
					return {kind: 'other', holder: this.holder, remainingMilliseconds: 10_000};
				}

				this.holder = self;
				return {kind: 'held', since: readClock()};
			},
			remove: async () => {
				this.removals += 1;
				this.holder = undefined;
				return undefined;
			},
			release: async () => {
				this.holder = undefined;
				return undefined;
			},
		};
	}
}

/** Limiters of several gateways, which reach each other unless a gateway was cut off or has ended. */
class LimiterFleet {
	readonly lease = new SharedLease();
	readonly limiters = new Map<string, EndpointLimiter>();
	readonly unreachable = new Set<string>();
	readonly ended = new Set<string>();
	readonly lines: string[] = [];
	/** Time that the reply to a request for a permit takes, in milliseconds. */
	replyMilliseconds = 0;
	state: IncarnationState = 'listed';
	readonly #context: TestContext;

	constructor(context: TestContext) {
		this.#context = context;
	}

	add(name: string): EndpointLimiter {
		const self = {name, incarnation: 1, peers: name};
		const log = (message: string) => {
			this.lines.push(message);
		};

		const limiter = new EndpointLimiter({
			leases: this.lease.of(self),
			endpoints: {stateOf: () => this.state},
			self,
			askHolder: async (address, message) => this.#ask(address, message),
			hasEnded: async address => this.ended.has(address),
			countGateways: () => 1,
			logger: {
				debug: log, info: log, warn: log, error: log,
			},
			readClock,
			random: () => 0.5,
			count: () => undefined,
		});
		this.limiters.set(name, limiter);
		const stopping = new AbortController();
		void limiter.maintain(stopping.signal);
		this.#context.after(() => {
			stopping.abort();
		});
		return limiter;
	}

	async #ask(address: string, message: PermitRequest): Promise<PermitReply | undefined> {
		if (this.unreachable.has(address) || this.ended.has(address)) {
			return undefined;
		}

		const reply = this.limiters.get(address)!.answer(message);
		await delay(this.replyMilliseconds);
		return reply;
	}
}

/** Waits until a limiter gets a permit, for some seconds at most; returns the time that it took, in milliseconds. */
async function untilGranted(limiter: EndpointLimiter, within = 3000): Promise<number> {
	const startedAt = performance.now();
	while (performance.now() < startedAt + within) {
		if (await limiter.acquire(endpoint, request)) {
			return performance.now() - startedAt;
		}

		await delay(20);
	}

	throw new Error('no permit was granted');
}

/** Starts two gateways that know a limit, of which the first one grants the permits. */
async function startPair(context: TestContext, requestsPerSecond: number) {
	const fleet = new LimiterFleet(context);
	const [holder, other] = [fleet.add('gateway-1'), fleet.add('gateway-2')];
	for (const limiter of [holder, other]) {
		limiter.observe(endpoint, named(requestsPerSecond), 0);
		await untilGranted(limiter);
	}

	return {fleet, holder, other};
}

test('a gateway that cannot reach the store sends nothing to an endpoint that names a limit', async context => {
	const fleet = new LimiterFleet(context);
	fleet.lease.isUp = false;
	const limiter = fleet.add('gateway-1');
	assert.equal(await limiter.acquire(endpoint, request), true, 'no limit was named yet');
	limiter.observe(endpoint, named(100), 0);
	for (let look = 0; look < 20; look += 1) {
		assert.equal(await limiter.acquire(endpoint, request), false);
		await delay(50);
	}

	fleet.lease.isUp = true;
	await untilGranted(limiter, 6000);
});

test('a gateway sends nothing while a lease that the store has lost may be in use, and goes on after that', async context => {
	const fleet = new LimiterFleet(context);
	const uncertainMilliseconds = 1000;
	fleet.lease.uncertainUntil = performance.now() + uncertainMilliseconds;
	const limiter = fleet.add('gateway-1');
	limiter.observe(endpoint, named(100), 0);
	assert.ok(await untilGranted(limiter) >= uncertainMilliseconds * 0.9);
	assert.ok(fleet.lines.some(line => line.includes('may have been lost by the store')));
});

test('a gateway that is cut off from the holder sends nothing, and goes on when it reaches it again', async context => {
	const {fleet, holder, other} = await startPair(context, 50);
	fleet.unreachable.add('gateway-1');
	for (let look = 0; look < 20; look += 1) {
		assert.equal(await other.acquire(endpoint, request), false);
		await delay(50);
	}

	assert.equal(await holder.acquire(endpoint, request), true);
	fleet.unreachable.clear();
	await untilGranted(other);
});

test('another gateway takes over at once when the process of the holder has ended', async context => {
	const {fleet, holder, other} = await startPair(context, 50);
	fleet.ended.add('gateway-1');
	const milliseconds = await untilGranted(other);
	assert.ok(milliseconds < 1000, `${milliseconds} ms`);
	assert.equal(fleet.lease.holder?.name, 'gateway-2');
});

test('a gateway asks a holder that becomes known at once, however long the one before has been silent', async context => {
	const fleet = new LimiterFleet(context);
	const [next, other] = [fleet.add('gateway-2'), fleet.add('gateway-3')];
	const published = (name: string, revision: number) => {
		other.published.apply([{key: endpoint.id, content: {startedAt: endpoint.startedAt, requestsPerSecond: 50, holder: {name, incarnation: 1, peers: name}}, revision}]);
	};

	fleet.unreachable.add('gateway-1');
	fleet.lease.holder = {name: 'gateway-1', incarnation: 1, peers: 'gateway-1'};
	published('gateway-1', 1);
	await assert.rejects(untilGranted(other, 2500));
	fleet.lease.holder = undefined;
	next.observe(endpoint, named(50), 0);
	await untilGranted(next);
	await delay(100);
	published('gateway-2', 2);
	assert.equal(await other.acquire(endpoint, request), true);
});

test('a gateway that stops gives up its lease, and acquires none again', async context => {
	const fleet = new LimiterFleet(context);
	const limiter = fleet.add('gateway-1');
	limiter.observe(endpoint, named(50), 0);
	await untilGranted(limiter);
	await limiter.stop();
	await delay(300);
	assert.equal(fleet.lease.holder, undefined);
	assert.equal(await limiter.acquire(endpoint, request), false);
});

test('a change that any gateway sees is in force at the holder at once', async context => {
	const {fleet, holder, other} = await startPair(context, 2);
	other.observe(endpoint, named(20), performance.now());
	await delay(10);
	assert.equal(holder.answer({endpoint, importance: 0}).requestsPerSecond, 20);
});

test('a change that does not reach the holder is reported with the next request for a permit', async context => {
	const {fleet, holder, other} = await startPair(context, 40);
	fleet.unreachable.add('gateway-1');
	other.observe(endpoint, named(2), performance.now());
	await delay(50);
	fleet.unreachable.clear();
	other.observe(endpoint, named(2), performance.now());
	await untilGranted(other);
	assert.equal(holder.answer({endpoint}).requestsPerSecond, 2);
});

test('a response without a limit lifts it only if its request was sent after the limit was named', async context => {
	const fleet = new LimiterFleet(context);
	const [holder, other] = [fleet.add('gateway-1'), fleet.add('gateway-2')];
	const before = performance.now();
	holder.observe(endpoint, named(2), before);
	await untilGranted(holder);
	other.observe(endpoint, named(2), before);
	await untilGranted(other);
	other.observe(endpoint, {kind: 'none'}, before);
	await delay(10);
	assert.equal(holder.answer({endpoint, importance: 0}).holds, true);
	other.observe(endpoint, {kind: 'none'}, performance.now());
	await delay(10);
	assert.equal(holder.answer({endpoint, importance: 0}).holds, false);
	assert.equal(await holder.acquire(endpoint, request), true);
	await delay(400);
	assert.equal(fleet.lease.removals, 1);
});

test('a gateway that asks for a permit after the limit was lifted sends at once and does not acquire the lease', async context => {
	const {fleet, holder, other} = await startPair(context, 2);
	await delay(600);
	holder.observe(endpoint, {kind: 'none'}, performance.now());
	await delay(400);
	assert.equal(fleet.lease.holder, undefined);
	assert.equal(await other.acquire(endpoint, request), true);
	await delay(50);
	assert.equal(fleet.lease.holder, undefined);
	assert.equal(await other.acquire(endpoint, request), true);
});

test('a limit that a response named after another gateway saw it lifted stays', async context => {
	const {fleet, holder, other} = await startPair(context, 2);
	holder.observe(endpoint, {kind: 'none'}, performance.now());
	await delay(20);
	other.observe(endpoint, named(2), performance.now());
	await delay(400);
	await untilGranted(other);
	assert.equal(fleet.lease.holder?.name, 'gateway-2');
	assert.equal(await other.acquire(endpoint, request), false);
});

test('a holder goes on granting permits when the removal of an earlier limit is published late', async context => {
	const fleet = new LimiterFleet(context);
	const limiter = fleet.add('gateway-1');
	limiter.observe(endpoint, named(2), 0);
	await untilGranted(limiter);
	limiter.published.apply([{key: endpoint.id, revision: 6}]);
	assert.equal(limiter.answer({endpoint}).holds, true);
});

test('a published limit holds at gateways that no response has told of it, until its row is removed', async context => {
	const fleet = new LimiterFleet(context);
	const limiter = fleet.add('gateway-1');
	limiter.published.apply([{key: endpoint.id, content: {startedAt: endpoint.startedAt, requestsPerSecond: 2, holder: {name: 'gateway-9', incarnation: 1, peers: 'gateway-9'}}, revision: 5}]);
	fleet.unreachable.add('gateway-9');
	fleet.lease.holder = {name: 'gateway-9', incarnation: 1, peers: 'gateway-9'};
	assert.equal(await limiter.acquire(endpoint, request), false);
	assert.equal(await limiter.acquire({...endpoint, startedAt: 2}, request), true, 'another incarnation has no limit');
	limiter.published.apply([{key: endpoint.id, revision: 6}]);
	assert.equal(await limiter.acquire(endpoint, request), true);
});

test('the state of an endpoint that is gone is forgotten, and its rows are removed', async context => {
	const fleet = new LimiterFleet(context);
	const limiter = fleet.add('gateway-1');
	limiter.observe(endpoint, named(50), 0);
	await untilGranted(limiter);
	fleet.state = 'removed';
	await delay(700);
	assert.equal(fleet.lease.removals, 1);
});

test('an unreadable limit is logged once and changes nothing', async context => {
	const fleet = new LimiterFleet(context);
	const limiter = fleet.add('gateway-1');
	limiter.observe(endpoint, {kind: 'unreadable', text: '-1'}, 0);
	limiter.observe(endpoint, {kind: 'unreadable', text: '-1'}, 0);
	assert.equal(fleet.lines.filter(line => line.includes('cannot be read')).length, 1);
	assert.equal(await limiter.acquire(endpoint, request), true);
});

test('a limit that is named again right after it was lifted keeps its lease', async context => {
	const fleet = new LimiterFleet(context);
	const limiter = fleet.add('gateway-1');
	limiter.observe(endpoint, named(50), 0);
	await untilGranted(limiter);
	await delay(5);
	limiter.observe(endpoint, {kind: 'none'}, performance.now());
	limiter.observe(endpoint, named(50), performance.now());
	await untilGranted(limiter);
	await delay(700);
	assert.equal(fleet.lease.holder?.name, 'gateway-1');
});

/** Sends requests at a constant rate; returns for each whether it had a permit, and how long it waited, in milliseconds. */
async function requestSteadily(limiter: EndpointLimiter, {milliseconds}: {milliseconds: number}) {
	const until = performance.now() + milliseconds;
	const results: Array<Promise<{granted: boolean; waited: number}>> = [];
	while (performance.now() < until) {
		const startedAt = performance.now();
		results.push(limiter.acquire(endpoint, request).then(granted => ({granted, waited: performance.now() - startedAt})));
		await delay(20);
	}

	return Promise.all(results);
}

test('an endpoint is used as far as its limit allows although the holder replies later than a request waits', async context => {
	const {fleet, holder, other} = await startPair(context, 2);
	fleet.replyMilliseconds = 300;
	const results = await requestSteadily(other, {milliseconds: 5000});
	const granted = results.filter(result => result.granted).length;
	assert.ok(granted >= 8 && granted <= 12, `${granted} of 10 permits`);
	assert.ok(results.every(({waited}) => waited < 250), 'none waits for a late reply');
});

test('a permit that is granted later than its lifetime is not used', async context => {
	const {fleet, holder, other} = await startPair(context, 50);
	fleet.replyMilliseconds = 600;
	const results = await requestSteadily(other, {milliseconds: 2500});
	assert.deepEqual(results.filter(result => result.granted), []);
});
