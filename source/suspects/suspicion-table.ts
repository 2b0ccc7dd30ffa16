/**
 * The rows of the store in which all gateways count the endpoints that ended under a request.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type RowPlace, type StoreClient, type StoredRow} from '../platform/mod.ts';
import {type Logger} from '../telemetry/logger.ts';
import {
	decodeSuspicion, encodeSuspicion, isForgotten, toldEnds, type Suspicion,
} from './suspicion.ts';

/** Table in which ends are counted; nobody follows it, since most requests in it were merely there when one endpoint ended. */
const countTable = 'request-ends';

/** Table of the requests that all gateways are told of, by copies of their rows in the other table. */
export const toldTable = 'request-suspects';

/** Tries to change a row that others change at the same time. */
const mostTries = 6;

/** Share of the changes after which some rows are looked at, and those that hold nothing any more are removed. */
const sweepShare = 0.05;

/** Rows that are looked at then. */
const sweptRows = 100;

/** First characters of digests. */
const digestCharacters = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';

/** Options of {@linkcode SuspicionTable}. */
export type SuspicionTableOptions = {
	store: Pick<StoreClient, 'readRow' | 'readSome' | 'transact'>;
	logger: Logger;
	random: () => number;
};

/** What a row says after it was read or changed. */
export type StoredSuspicion = {
	suspicion: Suspicion | undefined;
	/** Revision of the row before it was changed now; 0 where there was none. */
	revision: number;
	/** Whether the row was changed now. */
	isChanged: boolean;
};

/**
 * Decides on a row.
 *
 * @param before What it says.
 * @param now The store's time, in milliseconds.
 * @returns What it is to say: `before` itself to leave it, `undefined` to remove it.
 */
export type SuspicionChange = (before: Suspicion | undefined, now: number) => Suspicion | undefined;

/**
 * Changes rows under the condition that nobody else has changed them meanwhile.
 *
 * @example
 * ```ts
 * await table.change(digest, (before, now) => addEnd(before, service, life, now));
 * ```
 */
export class SuspicionTable {
	readonly #options: SuspicionTableOptions;

	constructor(options: SuspicionTableOptions) {
		this.#options = options;
	}

	/**
	 * Reads a row, decides on it and writes it, again where somebody else wrote in between.
	 *
	 * A change whose answer is lost may have been made; making it again must change nothing more.
	 *
	 * @param digest Digest of the request.
	 * @param change The decision.
	 * @returns What the row says now, or why it could not be changed.
	 */
	async change(digest: string, change: SuspicionChange): Promise<Result<StoredSuspicion, string>> {
		for (let tries = 1; tries <= mostTries; tries += 1) {
			const outcome = await this.#try(digest, change);
			if (outcome.isErr()) {
				return err(outcome.error);
			}

			if (outcome.value !== 'conflict') {
				return ok(outcome.value);
			}
		}

		return err('others changed the row each time');
	}

	async #try(digest: string, change: SuspicionChange): Promise<Result<StoredSuspicion | 'conflict', string>> {
		const {store, random} = this.#options;
		const read = await store.readRow(countTable, digest);
		if (read.isErr()) {
			return err(read.error.message);
		}

		const {rows: [row], storeMilliseconds: now} = read.value;
		if (now === undefined) {
			return err('the store does not tell its time');
		}

		const revision = row?.revision ?? 0;
		const before = this.#decode(row);
		const after = change(before, now);
		if (after === before) {
			return ok({suspicion: before, revision, isChanged: false});
		}

		const written = await this.#write({
			digest, before, after, revision,
		});
		if (written.isOk() && random() < sweepShare) {
			void this.#sweep(now);
		}

		return written;
	}

	async #write({digest, before, after, revision}: RowChange): Promise<Result<StoredSuspicion | 'conflict', string>> {
		const content = after && encodeSuspicion(after);
		const outcome = await this.#options.store.transact({
			expected: [{table: countTable, key: digest, revision}],
			puts: content === undefined ? [] : placesOf(digest, after).map(place => ({...place, content})),
			removes: content === undefined ? placesOf(digest, before) : [],
		});
		return outcome
			.map(value => value.kind === 'conflict' ? 'conflict' as const : {suspicion: after, revision, isChanged: true})
			.mapErr(({message}) => message);
	}

	#decode(row: StoredRow | undefined): Suspicion | undefined {
		const decoded = row?.content && decodeSuspicion(row.content);
		if (decoded?.isErr()) {
			this.#options.logger.error('row of a suspected request cannot be read and starts anew', {digest: row?.key, reason: decoded.error});
		}

		return decoded?.unwrapOr(undefined);
	}

	/** Removes some rows that hold nothing against their requests any more. */
	async #sweep(now: number): Promise<void> {
		const {store, logger, random} = this.#options;
		const from = digestCharacters[Math.floor(random() * digestCharacters.length)]!;
		const read = await store.readSome(countTable, from, sweptRows);
		if (read.isErr()) {
			logger.warn('rows of suspected requests are not looked at', {reason: read.error.message});
			return;
		}

		for (const row of read.value.rows) {
			const before = this.#decode(row);
			if (!before || isForgotten(before, now)) {
				await this.#write({
					digest: row.key, before, after: undefined, revision: row.revision,
				});
			}
		}
	}
}

type RowChange = {digest: string; before: Suspicion | undefined; after: Suspicion | undefined; revision: number};

/** Where a suspicion stands: all gateways are told of it once enough endpoints have ended. */
function placesOf(digest: string, suspicion: Suspicion | undefined): RowPlace[] {
	const counted = {table: countTable, key: digest};
	return suspicion && suspicion.ends.length >= toldEnds ? [counted, {table: toldTable, key: digest}] : [counted];
}
