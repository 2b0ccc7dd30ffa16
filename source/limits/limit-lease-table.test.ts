import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {type ClockReading} from '../clocks/mod.ts';
import {
	eraOf, revisionOf, versionOf, StoreEraRecord, type RowWrite, type StoredRow, type Transaction,
} from '../stored-rows/mod.ts';
import {StoreEra} from '../platform/mod.ts';
import {findLimitExcess} from '../testing/limit-excess.ts';
import {
	HeldLimit, LimitLeaseTable, leaseMilliseconds, permitLifetimeMilliseconds, type LimitLeaseTableOptions, type PermitHolder,
} from './mod.ts';

const logger = {
	debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

const endpoint = {id: 'desk-1', startedAt: 1};

/** What the store does with a call: `lost` performs a write without an answer, `late` performs it some time later if its condition still holds. */
type StoreMode = 'up' | 'down' | 'lost' | 'late';

/** A store in virtual time. */
class VirtualStore {
	now = 0;
	mode: StoreMode = 'up';
	#revision = revisionOf(1, 1);
	#rows = new Map<string, StoredRow>();
	/** Its rows after each write, the oldest first. */
	readonly #copies = [new Map<string, StoredRow>()];
	#late: Transaction[] = [];

	get era(): number {
		return eraOf(this.#revision);
	}

	/** Comes back without its newest writes. */
	restore(lostWrites: number): void {
		const copy = this.#copies.at(-1 - lostWrites) ?? this.#copies[0]!;
		this.#revision = revisionOf(this.era + 1, versionOf(this.#revision));
		this.#rows = new Map([...copy].map(([key, row]) => [key, {...row, revision: revisionOf(this.era, versionOf(row.revision))}]));
	}

	/** Performs the writes that were delayed. */
	performLate(): void {
		const late = this.#late;
		this.#late = [];
		for (const transaction of late) {
			this.#perform(transaction);
		}
	}

	async readRow(table: string, key: string) {
		if (this.mode === 'down') {
			return err({kind: 'refused' as const, message: 'down'});
		}

		const row = this.#rows.get(`${table}/${key}`);
		return ok({rows: row ? [row] : [], revision: this.#revision, storeMilliseconds: this.now});
	}

	async transact(transaction: Transaction) {
		const failure = err({kind: 'unknown' as const, message: this.mode});
		if (this.mode === 'late') {
			this.#late.push(transaction);
		}

		if (this.mode === 'late' || this.mode === 'down') {
			return failure;
		}

		const kind = this.#perform(transaction);
		return this.mode === 'lost' ? failure : ok({kind});
	}

	#perform({expected, puts, removes}: Transaction): 'committed' | 'conflict' {
		if (expected.some(({table, key, revision}) => (this.#rows.get(`${table}/${key}`)?.revision ?? 0) !== revision)) {
			return 'conflict';
		}

		this.#revision += 1;
		for (const {table, key, content} of puts) {
			this.#rows.set(`${table}/${key}`, {key, content: Buffer.from(content), revision: this.#revision});
		}

		for (const {table, key} of removes) {
			this.#rows.delete(`${table}/${key}`);
		}

		this.#copies.push(new Map(this.#rows));
		return 'committed';
	}
}

/** A gateway in virtual time, which may be suspended and restarted. */
class VirtualGateway {
	held: HeldLimit | undefined;
	#suspendedMilliseconds = 0;
	#incarnation = 1;
	#era = new StoreEra();
	readonly #name: string;
	readonly #store: VirtualStore;

	constructor(name: string, store: VirtualStore) {
		this.#name = name;
		this.#store = store;
	}

	get self(): PermitHolder {
		return {name: this.#name, incarnation: this.#incarnation, peers: this.#name};
	}

	readClock(): ClockReading {
		return {steady: this.#store.now - this.#suspendedMilliseconds, wall: this.#store.now};
	}

	table(): LimitLeaseTable {
		const store = {
			readRow: async (table: string, key: string) => {
				const read = await this.#store.readRow(table, key);
				this.#era.record(this.#store.era, this.readClock().steady);
				return read.map(rows => ({...rows, eraMilliseconds: this.#era.age(this.readClock().steady)}));
			},
			transact: async (transaction: Transaction) => this.#store.transact(transaction),
			writeRow: async ({table, key, content, expectedRevision = 0}: RowWrite) => this.#store.transact({
				expected: [{table, key, revision: expectedRevision}], puts: [{table, key, content}], removes: [],
			}),
		};
		return new LimitLeaseTable({
			store, eraRecord: new StoreEraRecord({store, logger}), self: this.self, logger, readClock: () => this.readClock(),
		} satisfies LimitLeaseTableOptions);
	}

	async acquire(requestsPerSecond: number, endedHolder?: PermitHolder): Promise<void> {
		const outcome = await this.table().acquire({
			endpoint, requestsPerSecond, publish: true, endedHolder, isHeld: this.held?.isValid(this.readClock()) ?? false,
		});
		const now = this.readClock();
		if (outcome.kind === 'other' || outcome.kind === 'uncertain') {
			this.held = undefined;
		} else if (outcome.kind === 'held' && this.held?.isValid(now)) {
			this.held.renew(outcome.since);
		} else if (outcome.kind === 'held') {
			this.held = new HeldLimit({
				requestsPerSecond, since: outcome.since, namedAt: now.steady, now,
			});
		}
	}

	/** Tries to acquire the lease of an incarnation; returns the kind of the outcome. */
	async outcomeFor(incarnation: typeof endpoint): Promise<string> {
		const {kind} = await this.table().acquire({endpoint: incarnation, requestsPerSecond: 8, publish: true});
		return kind;
	}

	take(): boolean {
		const now = this.readClock();
		return this.held?.isValid(now) === true && this.held.take(0, now).granted;
	}

	suspend(milliseconds: number): void {
		this.#store.now += milliseconds;
		this.#suspendedMilliseconds += milliseconds;
	}

	restart(): void {
		this.held = undefined;
		this.#incarnation += 1;
		this.#era = new StoreEra();
	}
}

const step = fc.record({
	gateway: fc.nat(),
	action: fc.constantFrom('acquire', 'acquire', 'take', 'take', 'take', 'take', 'suspend', 'restart', 'replace ended', 'perform late writes', 'restore'),
	store: fc.constantFrom<StoreMode>('up', 'up', 'up', 'down', 'lost', 'late'),
	milliseconds: fc.integer({min: 0, max: 3000}),
	permits: fc.integer({min: 1, max: 20}),
	useAfter: fc.integer({min: 0, max: permitLifetimeMilliseconds}),
});

for (const limit of [0.5, 1.5, 8, 40]) {
	test(`the sum over all gateways keeps a limit of ${limit} a second through restarts, suspensions, lost and late writes, and a store that comes back from older copies`, async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 20, maxLength: 120}), async steps => {
			const store = new VirtualStore();
			const gateways = Array.from({length: 6}, (_unused, index) => new VirtualGateway(`gateway-${index}`, store));
			const ended: PermitHolder[] = [];
			const used: number[] = [];
			for (const {gateway: index, action, store: mode, milliseconds, permits, useAfter} of steps) {
				const gateway = gateways[index % gateways.length]!;
				store.mode = mode;
				const actions: Record<typeof action, () => Promise<void> | void> = {
					acquire: async () => gateway.acquire(limit),
					async 'replace ended'() {
						await gateway.acquire(limit, ended.at(-1));
					},
					take() {
						store.now += milliseconds;
						used.push(...Array.from({length: permits}, () => gateway.take()).filter(Boolean).map(() => store.now + useAfter));
					},
					suspend() {
						gateway.suspend(milliseconds * 5);
					},
					restart() {
						ended.push(gateway.self);
						gateway.restart();
					},
					'perform late writes'() {
						store.performLate();
					},
					restore() {
						store.restore(permits);
					},
				};
				await actions[action]();
			}

			assert.equal(findLimitExcess(used.toSorted((left, right) => left - right), [{at: 0, limit}], 0), undefined);
		}), {numRuns: 150});
	});
}

test('a lease that is not renewed passes to another gateway only once no permit of its holder can be in use', async () => {
	const store = new VirtualStore();
	const [first, second] = [new VirtualGateway('first', store), new VirtualGateway('second', store)];
	await first.acquire(8);
	store.now += leaseMilliseconds - 1;
	assert.equal(first.take(), true);
	await second.acquire(8);
	assert.equal(second.held, undefined);
	store.now += 1;
	assert.equal(first.take(), false);
	await second.acquire(8);
	assert.equal(second.held, undefined);
	store.now += permitLifetimeMilliseconds;
	await second.acquire(8);
	assert.ok(second.held);
});

test('a lease that the store has lost passes to another gateway only once no permit of its holder can be in use', async () => {
	const store = new VirtualStore();
	const [first, second] = [new VirtualGateway('first', store), new VirtualGateway('second', store)];
	await first.acquire(8);
	store.restore(1);
	await second.acquire(8);
	assert.equal(second.held, undefined);
	store.now += leaseMilliseconds - 1;
	assert.equal(first.take(), true);
	await second.acquire(8);
	assert.equal(second.held, undefined);
	store.now += 1 + permitLifetimeMilliseconds;
	await second.acquire(8);
	assert.ok(second.held);
});

test('a gateway whose lease the store has lost keeps it by renewing it', async () => {
	const store = new VirtualStore();
	const [first, second] = [new VirtualGateway('first', store), new VirtualGateway('second', store)];
	await first.acquire(8);
	store.restore(1);
	store.now += 1000;
	await first.acquire(8);
	assert.equal(first.take(), true);
	assert.equal(await second.outcomeFor(endpoint), 'other');
});

test('a gateway does not renew a lease that another one has acquired since, also after the store came back from an older copy', async () => {
	for (const restores of [0, 1]) {
		const store = new VirtualStore();
		const [first, second] = [new VirtualGateway('first', store), new VirtualGateway('second', store)];
		for (let restore = 0; restore < restores; restore += 1) {
			store.restore(1);
			store.now += leaseMilliseconds * 2;
		}

		await first.acquire(8);
		store.now += restores * leaseMilliseconds * 2;
		await first.acquire(8);
		assert.ok(first.held);
		await second.acquire(8, first.self);
		assert.ok(second.held);
		await first.acquire(8);
		assert.equal(first.held, undefined);
	}
});

test('a lease is not replaced by an earlier incarnation of the endpoint, and is by a later one', async () => {
	const store = new VirtualStore();
	const [first, second] = [new VirtualGateway('first', store), new VirtualGateway('second', store)];
	await first.acquire(8);
	const later = {id: endpoint.id, startedAt: 2};
	assert.equal(await second.outcomeFor(later), 'held');
	assert.equal(await first.outcomeFor(endpoint), 'replaced');
});

test('rows of an endpoint are removed by its holder, not by another gateway', async () => {
	const store = new VirtualStore();
	const [first, second] = [new VirtualGateway('first', store), new VirtualGateway('second', store)];
	await first.acquire(8);
	await second.table().remove(endpoint);
	assert.equal(await second.outcomeFor(endpoint), 'other');
	await first.table().release(endpoint);
	assert.equal(await second.outcomeFor(endpoint), 'held');
});
