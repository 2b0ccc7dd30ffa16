/**
 * Writes usage totals idempotently: repeated, late and lost writes neither add to nor lower a total.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {
	type Operation, type PlatformClient, type PlatformFailure, type Row,
} from '../table-service/mod.ts';
import {
	maximumTotals, equalTotals, usageKey, usageRow, usageRowSchema, usageTable, type UsageRecord,
} from './usage-row.ts';

/** Why a batch was not written. */
export type UsageWriteFailure = PlatformFailure | {kind: 'conflict'; message: string};

type CachedRow = {revision: number | undefined; storedTotals: UsageRecord['totals'] | undefined};

/** Maximum number of rows in one transaction. */
export const rowsPerTransaction = 100;

/**
 * Writes by compare-and-set on each row's revision: a write whose response was lost, or that arrives long after its
 * timeout, takes effect only if the row still has the revision that it was based on.
 *
 * @example
 * ```ts
 * const written = await store.write(records);
 * ```
 */
export class UsageStore {
	readonly #platform: PlatformClient;
	readonly #cachedRows = new Map<string, CachedRow>();

	constructor(platform: PlatformClient) {
		this.#platform = platform;
	}

	/**
	 * Writes the records of one batch in one transaction. A stored total is never lowered.
	 *
	 * @param records At most {@linkcode rowsPerTransaction} records.
	 * @returns Nothing once every row contains at least the given totals; a failure if the batch must be written again.
	 */
	async write(records: readonly UsageRecord[]): Promise<Result<void, UsageWriteFailure>> {
		const read = await this.#readUncached(records);
		if (read.isErr()) {
			return err(read.error);
		}

		const writes = records.flatMap(record => this.#operation(record) ?? []);
		if (writes.length === 0) {
			return ok();
		}

		const outcome = await this.#platform.transact(writes.map(({operation}) => operation));
		if (outcome.isOk() && outcome.value.kind === 'committed') {
			for (const {key, stored} of writes) {
				this.#cachedRows.set(key, stored);
			}

			return ok();
		}

		// The stored values are unknown now; the next attempt reads them.
		this.invalidate(records);
		return err(outcome.isErr() ? outcome.error : {kind: 'conflict', message: 'a row was written by another router'});
	}

	/** Removes the rows of some records from the cache. */
	invalidate(records: readonly UsageRecord[]): void {
		for (const record of records) {
			this.#cachedRows.delete(usageKey(record));
		}
	}

	async #readUncached(records: readonly UsageRecord[]): Promise<Result<void, PlatformFailure>> {
		const keys = records.map(record => usageKey(record)).filter(key => !this.#cachedRows.has(key));
		if (keys.length === 0) {
			return ok();
		}

		const rows = await this.#platform.read(keys.map(key => ({table: usageTable, key})));
		if (rows.isErr()) {
			return err(rows.error);
		}

		const byKey = new Map(rows.value.map(row => [row.key, row]));
		for (const key of keys) {
			this.#cachedRows.set(key, cachedRowOf(byKey.get(key)));
		}

		return ok();
	}

	#operation(record: UsageRecord): {key: string; operation: Operation; stored: CachedRow} | undefined {
		const key = usageKey(record);
		const cached = this.#cachedRows.get(key);
		const totals = cached?.storedTotals ? maximumTotals(cached.storedTotals, record.totals) : record.totals;
		if (cached?.storedTotals && equalTotals(cached.storedTotals, totals)) {
			return undefined;
		}

		const revision = cached?.revision;
		return {
			key,
			stored: {revision: (revision ?? 0) + 1, storedTotals: totals},
			operation: {
				kind: 'put', table: usageTable, key, value: usageRow({...record, totals}), condition: revision === undefined ? {kind: 'absent'} : {kind: 'revision', revision},
			},
		};
	}
}

function cachedRowOf(row: Row | undefined): CachedRow {
	if (!row) {
		return {revision: undefined, storedTotals: undefined};
	}

	const checked = usageRowSchema.safeParse(row.value);
	return {
		revision: row.revision,
		storedTotals: checked.success
			? {deliveredTokens: checked.data.delivered_tokens, extraTokens: checked.data.extra_tokens, calls: checked.data.calls}
			: undefined,
	};
}
