import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createLogger} from '../telemetry/mod.ts';
import {findRetryExcess} from '../testing/retry-excess.ts';
import {PeerBorrower} from './peer-borrower.ts';
import {peerLoanMilliseconds, type RetryLoanRequest} from './retry-loan-message.ts';
import {SharedRetryBudget} from './shared-retry-budget.ts';

const silent = createLogger('test', {level: 'silent'});

const ratio = 0.8;

const windowMilliseconds = 10_000;

/** A store that is away. */
const noSlack = {
	remaining: () => 0,
	take: () => false,
	mayBorrow: () => false,
	borrow: async () => undefined,
};

/** What happens to a call between two gateways. */
type CallFate = 'answered' | 'request-lost' | 'reply-lost' | 'borrower-suspended' | 'lender-suspended';

/** A gateway with clocks of its own, whose process can be replaced by a new one. */
class Gateway {
	readonly name: string;
	budget!: SharedRetryBudget;
	/** Time for which its host was suspended; its steady clock did not advance, in milliseconds. */
	suspendedMilliseconds = 0;
	/** Steps of its wall clock, in milliseconds. */
	steppedMilliseconds = 0;
	readonly #fleet: Fleet;

	constructor(name: string, fleet: Fleet) {
		this.name = name;
		this.#fleet = fleet;
		this.restart();
	}

	restart(): void {
		const readClock = () => ({steady: this.#fleet.now - this.suspendedMilliseconds, wall: this.#fleet.now + this.steppedMilliseconds});
		const peers = new PeerBorrower({
			self: this.name,
			service: 'scribe',
			gateways: () => this.#fleet.gateways.filter(({name}) => name !== this.name).map(({name}) => ({name, peers: name, ready: true})),
			requestLoan: async (lender, request) => this.#fleet.requestLoan(this, lender.name, request),
			logger: silent,
			readClock,
			random: () => 0,
		});
		this.budget = new SharedRetryBudget({
			ratio, windowMilliseconds, borrower: noSlack, peers, readClock,
		});
	}

	suspend(milliseconds: number): void {
		this.#fleet.now += milliseconds;
		this.suspendedMilliseconds += milliseconds;
	}
}

/** Gateways that lend each other retries over links with faults. */
class Fleet {
	now = 100_000;
	fate: CallFate = 'answered';
	/** Duration of the suspension during a call, in milliseconds. */
	callSuspensionMilliseconds = 3000;
	readonly gateways: Gateway[] = [];
	readonly sentAt: number[] = [];
	readonly retriedAt: number[] = [];

	constructor(gateways: number) {
		for (let index = 0; index < gateways; index += 1) {
			this.addGateway();
		}
	}

	addGateway(): void {
		this.gateways.push(new Gateway(`gateway-${this.gateways.length + 1}`, this));
	}

	request(gateway: Gateway, count: number): void {
		for (let request = 0; request < count; request += 1) {
			this.sentAt.push(this.now);
			gateway.budget.countRequest();
		}
	}

	/** Makes up to a number of retries at a gateway, one after the other; each reaches its endpoint after a time. */
	async retry(gateway: Gateway, count: number, transitMilliseconds = 0): Promise<number> {
		let retries = 0;
		for (let decision = 0; decision < count; decision += 1) {
			const {allowed} = await gateway.budget.take();
			if (allowed) {
				retries += 1;
				this.retriedAt.push(this.now + transitMilliseconds);
			}
		}

		return retries;
	}

	async requestLoan(borrower: Gateway, lender: string, {wanted}: RetryLoanRequest): Promise<{lent: number} | undefined> {
		const gateway = this.gateways.find(({name}) => name === lender)!;
		const lent = this.fate === 'request-lost' ? 0 : gateway.budget.lend(wanted);
		if (this.fate === 'borrower-suspended') {
			borrower.suspend(this.callSuspensionMilliseconds);
		} else if (this.fate === 'lender-suspended') {
			gateway.suspend(this.callSuspensionMilliseconds);
		}

		return this.fate === 'request-lost' || this.fate === 'reply-lost' ? undefined : {lent};
	}

	assertWithinBudget(): void {
		const arrivals = [Number.NEGATIVE_INFINITY, ...this.retriedAt.toSorted((left, right) => left - right)]
			.map(at => ({
				attempt: 'retried', service: 'scribe', worker: 'scribe-1', at, backoffUntil: undefined, saysLeaving: false,
			}));
		const excess = findRetryExcess(arrivals, this.sentAt, {ratio, slack: 0, windowMilliseconds});
		assert.equal(excess, undefined, JSON.stringify(excess));
	}
}

const event = fc.record({
	kind: fc.constantFrom('request', 'request', 'request', 'retry', 'herd', 'herd', 'herd', 'suspend', 'step', 'restart', 'join'),
	gateway: fc.nat({max: 7}),
	count: fc.integer({min: 1, max: 25}),
	gap: fc.oneof(fc.constant(0), fc.nat({max: 1000}), fc.nat({max: windowMilliseconds})),
	fate: fc.constantFrom<CallFate>('answered', 'answered', 'request-lost', 'reply-lost', 'borrower-suspended', 'lender-suspended'),
	suspendedSeconds: fc.integer({min: 1, max: 12}),
	stepSeconds: fc.integer({min: -20, max: 20}),
	transitMilliseconds: fc.nat({max: 1000}),
});

type Event = typeof event extends fc.Arbitrary<infer Value> ? Value : never;

const handlers: Record<Event['kind'], (fleet: Fleet, gateway: Gateway, event: Event) => Promise<void> | void> = {
	request(fleet, gateway, {count}) {
		fleet.request(gateway, count);
	},
	async retry(fleet, gateway, {count, transitMilliseconds}) {
		await fleet.retry(gateway, count, transitMilliseconds);
	},
	suspend(_fleet, gateway, {suspendedSeconds}) {
		gateway.suspend(suspendedSeconds * 1000);
	},
	step(_fleet, gateway, {stepSeconds}) {
		gateway.steppedMilliseconds += (stepSeconds * 1000) + 500;
		// A step and a suspension that cancel each other out between two readings of the clocks cannot be told from neither.
		gateway.budget.lend(0);
	},
	restart(_fleet, gateway) {
		gateway.restart();
	},
	join(fleet) {
		fleet.addGateway();
	},
	async herd(fleet, _gateway, {count, transitMilliseconds}) {
		for (const gateway of fleet.gateways) {
			await fleet.retry(gateway, count, transitMilliseconds);
		}
	},
};

test('the retries of all gateways stay within the ratio in any window, whatever is lost, suspended, restarted, stepped or joins', async () => {
	await fc.assert(fc.asyncProperty(fc.array(event, {minLength: 4, maxLength: 40}), async events => {
		const fleet = new Fleet(4);
		for (const each of events) {
			fleet.now += each.gap;
			fleet.fate = each.fate;
			fleet.callSuspensionMilliseconds = each.suspendedSeconds * 1000;
			await handlers[each.kind](fleet, fleet.gateways[each.gateway % fleet.gateways.length]!, each);
		}

		fleet.assertWithinBudget();
	}), {numRuns: 500});
});

// Load: the engines of many streams crash at the same moment, at one gateway of many, while the store is away.
test('a gateway whose streams all lose their engines uses what the requests of other gateways allow', async () => {
	const fleet = new Fleet(12);
	for (const gateway of fleet.gateways) {
		fleet.request(gateway, 4);
	}

	const decisions = await Promise.all(Array.from({length: 16}, async () => fleet.gateways[0]!.budget.take()));
	assert.ok(decisions.every(({allowed}) => allowed), JSON.stringify(decisions));
});

// Load: each gateway has received one request only, so that none holds enough for a retry.
test('parts of retries that several gateways lend add up to one', async () => {
	const fleet = new Fleet(3);
	for (const gateway of fleet.gateways) {
		fleet.request(gateway, 1);
	}

	assert.equal(await fleet.retry(fleet.gateways[0]!, 2), 1);
});

test('what a lost reply lent is used by neither gateway', async () => {
	const fleet = new Fleet(2);
	fleet.request(fleet.gateways[1]!, 5);
	fleet.fate = 'reply-lost';
	assert.equal(await fleet.retry(fleet.gateways[0]!, 2), 0);
	fleet.fate = 'answered';
	fleet.now += 5000;
	assert.equal(await fleet.retry(fleet.gateways[0]!, 2) + await fleet.retry(fleet.gateways[1]!, 2), 0);
});

for (const fate of ['borrower-suspended', 'lender-suspended'] as const) {
	test(`a loan whose reply comes after its lifetime is not used (${fate})`, async () => {
		const fleet = new Fleet(2);
		fleet.request(fleet.gateways[1]!, 5);
		fleet.fate = fate;
		fleet.callSuspensionMilliseconds = peerLoanMilliseconds;
		assert.equal(await fleet.retry(fleet.gateways[0]!, 2), 0);
	});
}

test('a gateway lends nothing that would be used more than a window after its request', async () => {
	const fleet = new Fleet(2);
	fleet.request(fleet.gateways[1]!, 5);
	fleet.now += windowMilliseconds - peerLoanMilliseconds;
	assert.equal(fleet.gateways[1]!.budget.lend(1000), 0);
	assert.equal(await fleet.retry(fleet.gateways[1]!, 1), 1);
});
