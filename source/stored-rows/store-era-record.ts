/**
 * Row of the store that says since when the store has not come back from an older copy.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type Logger} from '../telemetry/mod.ts';
import {type RowStore, type StoredRow, type StoredRows} from './row-store.ts';
import {decodeRow} from './decode-row.ts';
import {eraOf} from './store-revision.ts';

/** Options of {@linkcode StoreEraRecord}. */
export type StoreEraRecordOptions = {
	store: Pick<RowStore, 'readRow' | 'writeRow'>;
	logger: Logger;
};

const eraSchema = z.object({
	era: z.number(),
	/** The store's time at which the era had begun already, in milliseconds. */
	since: z.number(),
});

type RecordedEra = z.output<typeof eraSchema>;

const eraRow = {table: 'store-era', key: 'newest'};

/** First era of a store; one that names it has never come back from an older copy. */
const firstEra = 1;

/** Whether the store has ever come back from an older copy, by the era of a revision. */
export function hasComeBack(revision: number): boolean {
	return eraOf(revision) > firstEra;
}

/**
 * Tells whoever lends from the store for how long its rows are complete: what was written shortly before the store came back from an older
 * copy may be lost, although it is still in use.
 *
 * The row lets a gateway that has just started know it as well, which has not seen the era begin.
 *
 * @example
 * ```ts
 * const since = await eraRecord.presentSince(rows, now);
 * ```
 */
export class StoreEraRecord {
	readonly #options: StoreEraRecordOptions;
	#known: RecordedEra | undefined;

	constructor(options: StoreEraRecordOptions) {
		this.#options = options;
	}

	/**
	 * Returns the store's time from which on no write was lost, in milliseconds; minus infinity if none ever was.
	 *
	 * @param rows Response of the store that is to be relied on.
	 * @param now The store's time in that response, in milliseconds.
	 */
	async presentSince({revision, eraMilliseconds = 0}: Pick<StoredRows, 'revision' | 'eraMilliseconds'>, now: number): Promise<Result<number, string>> {
		if (!hasComeBack(revision)) {
			return ok(Number.NEGATIVE_INFINITY);
		}

		const era = eraOf(revision);
		const seenSince = now - eraMilliseconds;
		if (this.#known?.era !== era) {
			const recorded = await this.#readOrWrite({era, since: seenSince});
			if (recorded.isErr()) {
				return err(recorded.error);
			}

			this.#known = recorded.value;
		}

		return ok(Math.min(this.#known.since, seenSince));
	}

	async #readOrWrite(seen: RecordedEra): Promise<Result<RecordedEra, string>> {
		const {store} = this.#options;
		const read = await store.readRow(eraRow.table, eraRow.key);
		if (read.isErr()) {
			return err(read.error.message);
		}

		const {rows: [row], revision} = read.value;
		if (eraOf(revision) !== seen.era) {
			return err('the store came back from an older copy meanwhile');
		}

		const recorded = this.#decode(row);
		if (recorded?.era === seen.era) {
			return ok(recorded);
		}

		const written = await store.writeRow({...eraRow, content: JSON.stringify(seen), expectedRevision: row?.revision ?? 0});
		return written
			.mapErr(({message}) => message)
			.andThen(({kind}) => kind === 'conflict' ? err('the era of the store was recorded concurrently') : ok(seen));
	}

	#decode(row: StoredRow | undefined): RecordedEra | undefined {
		const decoded = row?.content && decodeRow(eraSchema, row.content);
		if (decoded?.isErr()) {
			this.#options.logger.error('recorded era of the store cannot be decoded and is replaced', {reason: decoded.error});
		}

		return decoded?.unwrapOr(undefined);
	}
}
