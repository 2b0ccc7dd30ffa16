/**
 * Simulates many gateways that judge suspected requests and prompt parts, with a store in memory.
 *
 * @module
 */
import {err, ok} from 'neverthrow';
import {eraOf, revisionOf, type Transaction} from '../stored-rows/mod.ts';
import {type EndpointEntry} from '../registry/mod.ts';
import {type SuspectChange} from '../suspects/known-suspicions.ts';
import {
	decodeSuspicion, SuspectedRequests, SuspicionTable, suspectTable, type RequestIdentity, type SuspectDecision,
} from '../suspects/mod.ts';
import {createLogger} from '../telemetry/mod.ts';
import {Random} from './soak/random.ts';

/** Time after which all gateways have received an update from the store, in milliseconds. */
export const propagationMilliseconds = 1200;

type FakeRow = {key: string; content: Uint8Array; revision: number};

/** In-memory store for the tables of suspected requests, with simulated time. */
class FakeStore {
	fault: 'none' | 'down' | 'lose-answers' = 'none';
	now = 0;
	calls = 0;
	revision = 0;
	readonly tables = new Map<string, Map<string, FakeRow>>();

	table(name: string): Map<string, FakeRow> {
		const table = this.tables.get(name) ?? new Map<string, FakeRow>();
		this.tables.set(name, table);
		return table;
	}

	async readRow(table: string, key: string) {
		this.calls += 1;
		const row = this.table(table).get(key);
		return this.#read(row ? [row] : []);
	}

	async readSome(table: string, from: string, limit: number) {
		return this.#read([...this.table(table).values()].filter(({key}) => key >= from).slice(0, limit));
	}

	async transact({expected, puts, removes}: Transaction) {
		this.calls += 1;
		if (this.fault === 'down') {
			return err({kind: 'refused' as const, message: 'down'});
		}

		if (expected.some(({table, key, revision}) => (this.table(table).get(key)?.revision ?? 0) !== revision)) {
			return ok({kind: 'conflict' as const});
		}

		this.revision += 1;
		for (const {table, key, content} of puts) {
			this.table(table).set(key, {key, content: new TextEncoder().encode(content), revision: this.revision});
		}

		for (const {table, key} of removes) {
			this.table(table).delete(key);
		}

		return this.fault === 'lose-answers' ? err({kind: 'unknown' as const, message: 'no answer'}) : ok({kind: 'committed' as const});
	}

	/** Comes back from a copy without any row. */
	restoreEmpty(): void {
		this.tables.clear();
		this.revision = revisionOf(eraOf(this.revision) + 1, 1);
	}

	/** Rows of the table that gateways follow. */
	publishedRows(): SuspectChange[] {
		return [...this.table(suspectTable).values()].map(({key, content, revision}) => ({digest: key, suspicion: decodeSuspicion(content)._unsafeUnwrap(), revision}));
	}

	async #read(rows: FakeRow[]) {
		return this.fault === 'down'
			? err({kind: 'refused' as const, message: 'down'})
			: ok({rows, revision: this.revision, storeMilliseconds: this.now});
	}
}

/**
 * Gateways that share a store, with simulated time.
 *
 * @example
 * ```ts
 * const fleet = new SimulatedFleet(14, 1);
 * await fleet.send(fleet.randomGateway(), identity, 1);
 * fleet.advance(1200);
 * ```
 */
export class SimulatedFleet {
	readonly store = new FakeStore();
	readonly random: Random;
	readonly gateways: SuspectedRequests[];
	readonly decisions = new Map<SuspectDecision, number>();
	readonly arrivals: number[] = [];
	readonly ends: number[] = [];
	#incarnations = 0;
	readonly #pendingUpdates: Array<{at: number; rows: SuspectChange[]; revision: number}> = [];

	constructor(gateways: number, seed: number) {
		this.random = new Random(seed);
		this.gateways = Array.from({length: gateways}, () => this.createGateway());
	}

	createGateway(): SuspectedRequests {
		const logger = createLogger('test', {level: 'silent'});
		const gateway = new SuspectedRequests({
			table: new SuspicionTable({store: this.store, logger, random: () => this.random.integer(0, 999) / 1000}),
			logger,
			clock: () => this.store.now,
			wait: async milliseconds => {
				this.advance(milliseconds);
			},
			count: decision => {
				this.decisions.set(decision, (this.decisions.get(decision) ?? 0) + 1);
			},
		});
		// A gateway accepts no callers before it has received the suspected requests.
		gateway.replaceKnown(this.store.publishedRows(), this.store.revision);
		gateway.known.confirm(this.store.revision);
		return gateway;
	}

	/** Sends a request that crashes every endpoint to a gateway, which makes attempts until it refuses the request. */
	async send(gateway: SuspectedRequests, identity: RequestIdentity, attempts: number): Promise<void> {
		let admission = await gateway.admit(identity);
		for (let attempt = 0; attempt < attempts && admission.kind !== 'refused'; attempt += 1) {
			this.#incarnations += 1;
			this.arrivals.push(this.store.now);
			this.ends.push(this.store.now);
			await gateway.recordCrash(identity, endpointOf(this.#incarnations));
			if (admission.kind === 'trial') {
				return;
			}

			admission = await gateway.admit(identity);
		}
	}

	/** Sends a request that engines serve to a gateway. */
	async serve(gateway: SuspectedRequests, identity: RequestIdentity): Promise<void> {
		const {kind} = await gateway.admit(identity);
		if (kind !== 'refused') {
			await gateway.recordSuccess(identity);
		}
	}

	/** Advances the time; all gateways receive the rows of the store after a delay. */
	advance(milliseconds: number): void {
		this.store.now += milliseconds;
		const rows = this.store.publishedRows();
		const {revision, now} = this.store;
		this.#pendingUpdates.push({at: now + propagationMilliseconds, rows, revision});
		while (this.#pendingUpdates[0] && this.#pendingUpdates[0].at <= now) {
			const update = this.#pendingUpdates.shift()!;
			for (const gateway of this.gateways) {
				gateway.replaceKnown(update.rows, update.revision);
				gateway.known.confirm(update.revision);
			}
		}
	}

	randomGateway(): SuspectedRequests {
		return this.gateways[this.random.integer(0, this.gateways.length - 1)]!;
	}
}

/** An endpoint in one of its incarnations. */
export function endpointOf(incarnation: number): EndpointEntry {
	return {
		id: `desk-${incarnation}`, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'zone-a', slots: 8, leaving: false, startedAt: incarnation,
	};
}
