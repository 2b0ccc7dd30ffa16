/**
 * Writes usage totals so that repeated, late and lost writes add nothing and take nothing away.
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
	higherTotals, sameTotals, usageKey, usageRow, usageRowSchema, usageTable, type UsageRecord,
} from './usage-row.ts';

/** Why a batch was not written. */
export type UsageWriteFailure = PlatformFailure | {kind: 'conflict'; message: string};

type Stored = {revision: number | undefined; row: UsageRecord['totals'] | undefined};

/** Rows in one transaction at most. */
export const rowsPerTransaction = 100;

/**
 * Writes by compare-and-set on each row's revision: a write that took effect although its answer was lost, or that takes
 * effect long after it was given up, can only meet the revision that it was made for.
 *
 * @example
 * ```ts
 * const written = await store.write(records);
 * ```
 */
export class UsageStore {
	readonly #platform: PlatformClient;
	readonly #known = new Map<string, Stored>();

	constructor(platform: PlatformClient) {
		this.#platform = platform;
	}

	/**
	 * Writes the records of one batch in one transaction; of each total the higher one stays.
	 *
	 * @param records At most {@linkcode rowsPerTransaction} records.
	 * @returns Nothing once every row holds at least the given totals; otherwise the batch must be written again.
	 */
	async write(records: readonly UsageRecord[]): Promise<Result<void, UsageWriteFailure>> {
		const read = await this.#readUnknown(records);
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
				this.#known.set(key, stored);
			}

			return ok();
		}

		// What the rows hold now is not known; the next attempt reads them.
		this.forget(records);
		return err(outcome.isErr() ? outcome.error : {kind: 'conflict', message: 'a row was written by another router'});
	}

	/** Forgets what is known of the rows of some records. */
	forget(records: readonly UsageRecord[]): void {
		for (const record of records) {
			this.#known.delete(usageKey(record));
		}
	}

	async #readUnknown(records: readonly UsageRecord[]): Promise<Result<void, PlatformFailure>> {
		const keys = records.map(record => usageKey(record)).filter(key => !this.#known.has(key));
		if (keys.length === 0) {
			return ok();
		}

		const rows = await this.#platform.read(keys.map(key => ({table: usageTable, key})));
		if (rows.isErr()) {
			return err(rows.error);
		}

		const byKey = new Map(rows.value.map(row => [row.key, row]));
		for (const key of keys) {
			this.#known.set(key, storedOf(byKey.get(key)));
		}

		return ok();
	}

	#operation(record: UsageRecord): {key: string; operation: Operation; stored: Stored} | undefined {
		const key = usageKey(record);
		const known = this.#known.get(key);
		const totals = known?.row ? higherTotals(known.row, record.totals) : record.totals;
		if (known?.row && sameTotals(known.row, totals)) {
			return undefined;
		}

		const revision = known?.revision;
		return {
			key,
			stored: {revision: (revision ?? 0) + 1, row: totals},
			operation: {
				kind: 'put', table: usageTable, key, value: usageRow({...record, totals}), condition: revision === undefined ? {kind: 'absent'} : {kind: 'revision', revision},
			},
		};
	}
}

function storedOf(row: Row | undefined): Stored {
	if (!row) {
		return {revision: undefined, row: undefined};
	}

	const checked = usageRowSchema.safeParse(row.value);
	return {
		revision: row.revision,
		row: checked.success
			? {deliveredTokens: checked.data.delivered_tokens, extraTokens: checked.data.extra_tokens, calls: checked.data.calls}
			: undefined,
	};
}
