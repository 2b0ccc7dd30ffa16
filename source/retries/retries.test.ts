import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {readClock, type ClockReading} from '../clocks/mod.ts';
import {
	eraOf, revisionOf, StoreEraRecord, type RowWrite, type StoredRow,
} from '../stored-rows/mod.ts';
import {Random} from '../testing/soak/random.ts';
import {createLogger} from '../telemetry/mod.ts';
import {SharedRetryBudget} from './shared-retry-budget.ts';
import {SlackBorrower, type SlackBorrowerOptions} from './slack-borrower.ts';
import {
	decodeLedger, encodeLedger, lend, loanMilliseconds, type Loan,
} from './slack-ledger.ts';

const silent = createLogger('test', {level: 'silent'});

const limits = {slack: 300, windowMilliseconds: 10_000};

/** In-memory table of ledgers with the same conditional writes as the store. */
class LedgerTable {
	storeMilliseconds: number | undefined = 0;
	fault: 'none' | 'down' | 'lose-answers' = 'none';
	reads = 0;
	/** Random source shared by all borrowers of this table. */
	readonly random = new Random(1);
	readonly rows = new Map<string, StoredRow>();
	/** Time for which gateways have known the era, in milliseconds; 0 for those that have just started. */
	eraMilliseconds = 0;
	#revision = revisionOf(1, 0);

	async readPrefix(_table: string, prefix: string) {
		this.reads += 1;
		return this.fault === 'down'
			? err({kind: 'refused' as const, message: 'down'})
			: ok({
				rows: [...this.rows.values()].filter(({key}) => key.startsWith(prefix)), revision: this.#revision, storeMilliseconds: this.storeMilliseconds, eraMilliseconds: this.eraMilliseconds,
			});
	}

	async readRow(_table: string, key: string) {
		return this.readPrefix(_table, key);
	}

	/** Comes back from an older copy. */
	restore(copy: ReadonlyMap<string, StoredRow>): void {
		this.rows.clear();
		this.eraMilliseconds = 0;
		this.#revision = revisionOf(eraOf(this.#revision) + 1, 0);
		for (const [key, row] of copy) {
			this.rows.set(key, {...row, revision: this.#revision});
		}
	}

	async writeRow({key, content, expectedRevision}: RowWrite) {
		if (this.fault === 'down') {
			return err({kind: 'refused' as const, message: 'down'});
		}

		if ((this.rows.get(key)?.revision ?? 0) !== expectedRevision) {
			return ok({kind: 'conflict' as const});
		}

		this.#revision += 1;
		this.rows.set(key, {key, content: new TextEncoder().encode(content), revision: this.#revision});
		return this.fault === 'lose-answers' ? err({kind: 'unknown' as const, message: 'no answer'}) : ok({kind: 'committed' as const});
	}
}

function borrowerAt(store: LedgerTable, changes: Partial<SlackBorrowerOptions> = {}): SlackBorrower {
	return new SlackBorrower({
		service: 'desk',
		holder: 'host-1',
		limits,
		store,
		eraRecord: new StoreEraRecord({store, logger: silent}),
		logger: silent,
		readClock,
		random: () => store.random.integer(0, 999) / 1000,
		...changes,
	});
}

function budgetAt(store: LedgerTable, clock: () => ClockReading, holder = 'host-1'): SharedRetryBudget {
	return new SharedRetryBudget({
		ratio: 0.8, windowMilliseconds: limits.windowMilliseconds, borrower: borrowerAt(store, {holder, readClock: clock}), readClock: clock,
	});
}

test('the retries used from all loans in one window never exceed the slack, whichever holders borrow and return loans', () => {
	const requests = fc.array(fc.record({
		gap: fc.nat({max: 2500}), holder: fc.constantFrom('a', 'b', 'c', 'd'), wanted: fc.integer({min: 1, max: 60}), usedShare: fc.double({min: 0, max: 1, noNaN: true}),
	}), {maxLength: 60});
	fc.assert(fc.property(requests, all => {
		let now = 0;
		let ledger: readonly Loan[] = [];
		const made: Array<Loan & {used: number}> = [];
		const last = new Map<string, Loan & {used: number}>();
		for (const {gap, holder, wanted, usedShare} of all) {
			now += gap;
			const earlier = last.get(holder);
			const lending = lend({
				ledger, limits, holder, wanted, used: new Map(earlier ? [[earlier.at, earlier.used]] : []), now,
			});
			ledger = lending.ledger;
			if (lending.granted > 0) {
				const loan = {
					holder, at: now, retries: lending.granted, used: Math.floor(lending.granted * usedShare),
				};
				made.push(loan);
				last.set(holder, loan);
			}
		}

		for (const {at: end} of made) {
			const inWindow = made.filter(({at}) => at <= end && at + loanMilliseconds > end - limits.windowMilliseconds);
			assert.ok(inWindow.reduce((sum, {used}) => sum + used, 0) <= limits.slack);
		}
	}));
});

test('lends no more than the lendable slack until the loan has expired and a window has passed', () => {
	const first = lend({
		ledger: [], limits, holder: 'a', wanted: 1000, used: new Map(), now: 1000,
	});
	assert.equal(first.granted, 270);
	const lendAt = (now: number) => lend({
		ledger: first.ledger, limits, holder: 'b', wanted: 1, used: new Map(), now,
	});
	assert.equal(lendAt(2000).granted, 0);
	assert.equal(lendAt(first.freeAt - 1).granted, 0);
	assert.equal(lendAt(first.freeAt).granted, 1);
	assert.ok(first.freeAt >= 1000 + loanMilliseconds + limits.windowMilliseconds);
});

test('the unused part of a returned loan can be lent to other holders immediately', () => {
	const first = lend({
		ledger: [], limits, holder: 'a', wanted: 270, used: new Map(), now: 0,
	});
	const settled = lend({
		ledger: first.ledger, limits, holder: 'a', wanted: 5, used: new Map([[0, 10]]), now: 3000,
	});
	assert.equal(settled.lent, 15);
	assert.equal(lend({
		ledger: settled.ledger, limits, holder: 'b', wanted: 300, used: new Map(), now: 3000,
	}).granted, 255);
});

test('a loan from before a reset of the store\'s time gets the current time, so that it expires', () => {
	const ledger = [{holder: 'a', at: 900_000, retries: 270}];
	const {ledger: kept, granted} = lend({
		ledger, limits, holder: 'b', wanted: 1, used: new Map(), now: 5,
	});
	assert.equal(granted, 0);
	assert.equal(kept[0]!.at, 5);
});

test('decodeLedger never throws, whatever the content of the row', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
		decodeLedger(new TextEncoder().encode(text));
	}));
	const ledger = [{holder: 'a', at: 1, retries: 2}];
	assert.deepEqual(decodeLedger(new TextEncoder().encode(encodeLedger(ledger)))._unsafeUnwrap(), ledger);
	assert.deepEqual(decodeLedger(undefined)._unsafeUnwrap(), []);
});

test('a ledger that cannot be decoded lends nothing until a window has passed, and then lends again', async () => {
	const store = new LedgerTable();
	store.rows.set('desk/0', {key: 'desk/0', content: new TextEncoder().encode('{"a":1}'), revision: 1});
	let now = 0;
	const borrower = borrowerAt(store, {limits: {...limits, slack: 10}, readClock: () => ({steady: now, wall: now})});
	for (; now < 20_000; now += 500) {
		store.storeMilliseconds = now;
		if (borrower.mayBorrow({steady: now, wall: now})) {
			await borrower.borrow(1);
		}

		const lends = borrower.take({steady: now, wall: now});
		assert.ok(!lends || now > limits.windowMilliseconds);
		if (lends) {
			return;
		}
	}

	assert.fail('nothing was lent within 20 s');
});

/** Gateways that share one clock and one table of ledgers. */
class SimulatedFleet {
	readonly store = new LedgerTable();
	now = 0;
	requests = 0;
	retries = 0;
	budgets: SharedRetryBudget[] = [];

	/** Replaces all gateways with a number of new ones. */
	start(gateways: number): void {
		const startedAt = this.now;
		this.budgets = Array.from({length: gateways}, (_unused, index) => budgetAt(this.store, () => ({steady: this.now, wall: this.now}), `host-${index}/${startedAt}`));
	}

	/** Counts a number of requests at each gateway and makes all retries that are then allowed. */
	async retryAll(now: number, requests: number): Promise<void> {
		this.now = now;
		this.store.storeMilliseconds = now;
		for (const budget of this.budgets) {
			this.requests += requests;
			for (let request = 0; request < requests; request += 1) {
				budget.countRequest();
			}

			for (let decision = await budget.take(); decision.allowed; decision = await budget.take()) {
				this.retries += 1;
			}
		}
	}
}

test('hundreds of gateways that restart repeatedly and all at once stay within the ratio and the slack', async () => {
	const fleet = new SimulatedFleet();
	for (let now = 0; now < 9000; now += 500) {
		if (now % 3000 === 0) {
			fleet.start(390);
		}

		await fleet.retryAll(now, 1);
	}

	assert.ok(fleet.retries <= (0.8 * fleet.requests) + limits.slack, `${fleet.retries} retries for ${fleet.requests} requests`);
	assert.ok(fleet.retries >= 200, `${fleet.retries} retries`);
});

for (const lives of [true, false]) {
	test(`retries lent before the store came back from an older copy are not lent again, by gateways that ${lives ? 'live on' : 'have just started'}`, async () => {
		const fleet = new SimulatedFleet();
		fleet.start(14);
		const copy = new Map(fleet.store.rows);
		await fleet.retryAll(1000, 0);
		assert.ok(fleet.retries > 200);
		fleet.store.restore(copy);
		for (let now = 1500; now < 10_000; now += 500) {
			if (!lives && now === 1500) {
				fleet.start(14);
			}

			fleet.store.eraMilliseconds = now - 1500;
			await fleet.retryAll(now, 0);
		}

		assert.ok(fleet.retries <= limits.slack, `${fleet.retries} retries`);
	});
}

test('some time after the store came back from an older copy retries are lent again, also to gateways that have just started', async () => {
	const fleet = new SimulatedFleet();
	fleet.start(2);
	fleet.store.restore(new Map());
	for (let now = 0; now < 16_000; now += 500) {
		fleet.store.eraMilliseconds = now;
		await fleet.retryAll(now, 0);
	}

	assert.ok(fleet.retries > 0);
	fleet.retries = 0;
	fleet.start(14);
	fleet.store.eraMilliseconds = 0;
	await fleet.retryAll(40_000, 0);
	assert.ok(fleet.retries > 200, `${fleet.retries} retries`);
});

test('the retries of all gateways stay within the ratio and the slack, and can use most of them', async () => {
	const fleet = new SimulatedFleet();
	fleet.start(14);
	for (let now = 0; now < 10_000; now += 100) {
		await fleet.retryAll(now, 1);
	}

	assert.ok(fleet.retries <= (0.8 * fleet.requests) + 300, `${fleet.retries} retries for ${fleet.requests} requests`);
	assert.ok(fleet.retries > 0.5 * fleet.requests);
});

test('retries late in a bucket count until a whole window has passed', async () => {
	const fleet = new SimulatedFleet();
	fleet.start(1);
	await fleet.retryAll(999, 0);
	await fleet.retryAll(10_000, 0);
	assert.ok(fleet.retries <= 300, `${fleet.retries} retries within 9 s`);
});

test('without the store, retries are limited to the share of the gateway\'s own requests, and not every retry queries the store', async () => {
	const store = new LedgerTable();
	store.fault = 'down';
	let now = 0;
	const budget = budgetAt(store, () => ({steady: now, wall: now}));
	let retries = 0;
	for (let request = 0; request < 100; request += 1) {
		now += 10;
		budget.countRequest();
		const {allowed} = await budget.take();
		retries += allowed ? 1 : 0;
	}

	assert.equal(retries, 40);
	assert.ok(store.reads <= 4, `${store.reads} calls`);
});

test('gateways that borrow at the same time all get a loan despite write conflicts', async () => {
	const store = new LedgerTable();
	const budgets = Array.from({length: 14}, (_unused, index) => budgetAt(store, readClock, `host-${index}`));
	const decisions = await Promise.all(budgets.map(async budget => budget.take()));
	assert.ok(decisions.every(({allowed}) => allowed), JSON.stringify(decisions));
});

test('a loan is not used if the response to its write was lost', async () => {
	const store = new LedgerTable();
	store.fault = 'lose-answers';
	const borrower = borrowerAt(store);
	await borrower.borrow(3);
	assert.equal(borrower.take(readClock()), false);
	store.fault = 'none';
	await borrower.borrow(3);
	assert.equal(borrower.take(readClock()), true);
	assert.equal([...store.rows.values()].flatMap(({content}) => decodeLedger(content)._unsafeUnwrap()).length, 2);
});

test('a loan is not used after it has expired, or after a suspension that the monotonic clock does not show', async () => {
	const times = [[loanMilliseconds, loanMilliseconds], [10, loanMilliseconds]] as const;
	for (const [steady, wall] of times) {
		let now = {steady: 0, wall: 0};
		const borrower = borrowerAt(new LedgerTable(), {readClock: () => now});
		await borrower.borrow(2);
		assert.equal(borrower.take(now), true);
		now = {steady, wall};
		assert.equal(borrower.take(now), false);
	}
});

test('concurrent retries share the calls to the store', async () => {
	const store = new LedgerTable();
	const budget = budgetAt(store, readClock);
	const decisions = await Promise.all(Array.from({length: 12}, async () => budget.take()));
	assert.ok(decisions.every(({allowed}) => allowed));
	assert.ok(store.reads <= 4, `${store.reads} calls`);
});

test('a retry does not wait long for a store that does not respond', async () => {
	const silentStore = {
		async readPrefix(): Promise<never> {
			return delay(60_000, undefined, {ref: false}) as Promise<never>;
		},
		writeRow: async () => ok({kind: 'committed' as const}),
	};
	const borrower = new SlackBorrower({
		service: 'desk', holder: 'host-1', limits, store: silentStore, eraRecord: {presentSince: async () => ok(0)}, logger: silent, readClock, random: () => 0,
	});
	const budget = new SharedRetryBudget({
		ratio: 0.8, windowMilliseconds: 10_000, borrower, readClock,
	});
	const startedAt = performance.now();
	const {allowed} = await budget.take();
	assert.equal(allowed, false);
	assert.ok(performance.now() - startedAt < 1000);
});

test('requests from before a suspension allow no retries after it', async () => {
	const store = new LedgerTable();
	store.fault = 'down';
	let now = {steady: 0, wall: 0};
	const budget = budgetAt(store, () => now);
	for (let request = 0; request < 100; request += 1) {
		budget.countRequest();
	}

	now = {steady: 10, wall: 30_000};
	const {allowed} = await budget.take();
	assert.equal(allowed, false);
});
