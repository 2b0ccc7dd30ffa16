/**
 * Store rows in which all gateways count the endpoint crashes per request and prompt part.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type RowLocation, type RowStore, type StoredRow} from '../stored-rows/mod.ts';
import {type Logger} from '../telemetry/logger.ts';
import {
	decodeSuspicion, encodeSuspicion, isExpired, isPublished, type Suspicion,
} from './suspicion.ts';

/** Table that counts crashes. Gateways do not follow it, since most requests in it merely ran on an endpoint when it crashed. */
const crashCountTable = 'request-ends';

/** Table of the suspected requests, which all gateways follow; holds copies of rows in the other table. */
export const suspectTable = 'request-suspects';

/** Maximum number of attempts to change a row that other gateways change concurrently. */
const maximumAttempts = 6;

/** Probability that a change is followed by a sweep, which removes expired rows. */
const sweepProbability = 0.05;

/** Maximum number of rows that a sweep reads. */
const sweepBatchSize = 100;

/** Characters with which a digest can start; a sweep starts at a random one. */
const digestCharacters = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';

/** Options of {@linkcode SuspicionTable}. */
export type SuspicionTableOptions = {
	store: Pick<RowStore, 'readRow' | 'readSome' | 'transact'>;
	logger: Logger;
	random: () => number;
};

/** State of a row after it was read or changed. */
export type StoredSuspicion = {
	suspicion: Suspicion | undefined;
	/** Revision of the row before this change; 0 if it did not exist. */
	revision: number;
	/** Whether the row was changed by this call. */
	isChanged: boolean;
};

/**
 * Computes the new state of a row. May run more than once for a change.
 *
 * @param before Current state; absent if there is no row.
 * @param now The store's time, in milliseconds.
 * @returns New state: `before` itself to leave the row unchanged, `undefined` to remove it.
 */
export type SuspicionChange = (before: Suspicion | undefined, now: number) => Suspicion | undefined;

/**
 * Changes rows with optimistic concurrency control.
 *
 * @example
 * ```ts
 * await table.change(digest, (before, now) => addCrash(before, service, incarnation, now));
 * ```
 */
export class SuspicionTable {
	readonly #options: SuspicionTableOptions;

	constructor(options: SuspicionTableOptions) {
		this.#options = options;
	}

	/**
	 * Reads a row, computes its new state and writes it; retries on a write conflict.
	 *
	 * A change must be idempotent: it may have been committed although the response was lost.
	 *
	 * @param digest Digest of the request.
	 * @param change Computes the new state.
	 * @returns The state of the row, or why it could not be changed.
	 */
	async change(digest: string, change: SuspicionChange): Promise<Result<StoredSuspicion, string>> {
		for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
			const outcome = await this.#tryChange(digest, change);
			if (outcome.isErr()) {
				return err(outcome.error);
			}

			if (outcome.value !== 'conflict') {
				return ok(outcome.value);
			}
		}

		return err('every attempt conflicted with a concurrent write');
	}

	async #tryChange(digest: string, change: SuspicionChange): Promise<Result<StoredSuspicion | 'conflict', string>> {
		const {store, random} = this.#options;
		const read = await store.readRow(crashCountTable, digest);
		if (read.isErr()) {
			return err(read.error.message);
		}

		const {rows: [row], storeMilliseconds: now} = read.value;
		if (now === undefined) {
			return err('the store did not report its time');
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
		if (written.isOk() && random() < sweepProbability) {
			void this.#sweep(now);
		}

		return written;
	}

	async #write({digest, before, after, revision}: RowChange): Promise<Result<StoredSuspicion | 'conflict', string>> {
		const content = after && encodeSuspicion(after);
		const places = after === undefined ? [] : rowPlaces(digest, after);
		const outcome = await this.#options.store.transact({
			expected: [{table: crashCountTable, key: digest, revision}],
			puts: content === undefined ? [] : places.map(place => ({...place, content})),
			removes: rowPlaces(digest, before).slice(places.length),
		});
		return outcome
			.map(value => value.kind === 'conflict' ? 'conflict' as const : {suspicion: after, revision, isChanged: true})
			.mapErr(({message}) => message);
	}

	#decode(row: StoredRow | undefined): Suspicion | undefined {
		const decoded = row?.content && decodeSuspicion(row.content);
		if (decoded?.isErr()) {
			this.#options.logger.error('row of a suspected request cannot be decoded and is treated as empty', {digest: row?.key, reason: decoded.error});
		}

		return decoded?.unwrapOr(undefined);
	}

	/** Removes some rows that have expired or cannot be decoded. */
	async #sweep(now: number): Promise<void> {
		const {store, logger, random} = this.#options;
		const from = digestCharacters[Math.floor(random() * digestCharacters.length)]!;
		const read = await store.readSome(crashCountTable, from, sweepBatchSize);
		if (read.isErr()) {
			logger.warn('rows of suspected requests could not be read for a sweep', {reason: read.error.message});
			return;
		}

		for (const row of read.value.rows) {
			const before = this.#decode(row);
			if (!before || isExpired(before, now)) {
				await this.#write({
					digest: row.key, before, after: undefined, revision: row.revision,
				});
			}
		}
	}
}

type RowChange = {digest: string; before: Suspicion | undefined; after: Suspicion | undefined; revision: number};

/** Returns the rows that store a suspicion, that of the count first: it is published to all gateways once there are enough crashes. */
function rowPlaces(digest: string, suspicion: Suspicion | undefined): RowLocation[] {
	const counted = {table: crashCountTable, key: digest};
	return suspicion && isPublished(suspicion) ? [counted, {table: suspectTable, key: digest}] : [counted];
}
