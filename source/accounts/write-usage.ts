/**
 * Keeps the usage table up with the totals of this router, and of peers that died.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type RouterIdentity, type UsageTotals} from '../membership/mod.ts';
import {pause, poll, type TaskFailure} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type HeardUsage} from './heard-usage.ts';
import {rowsPerTransaction, type UsageStore} from './usage-store.ts';
import {sameTotals, type UsageRecord} from './usage-row.ts';

/** Options of {@linkcode UsageWriter}. */
export type UsageWriterOptions = {
	identity: RouterIdentity;
	store: UsageStore;
	heard: HeardUsage;
	logger: Logger;
	/** Shortest time between two rounds of writes, in milliseconds. */
	periodMilliseconds: number;
	/** Returns the number of live routers, which share the platform's writes. */
	liveRouters: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/** Transactions that all routers together spend on usage in a second. */
export const fleetTransactionsPerSecond = 60;

/** Time between two transactions that write for dead peers, in milliseconds; the fall of a zone must not flood the platform. */
const takeoverPauseMilliseconds = 1000;

/** Time between two looks at whether a round is due, in milliseconds. */
const lookMilliseconds = 500;

/**
 * Returns the time between two rounds of writes that keeps all routers together within their share of the platform's writes.
 *
 * @param periodMilliseconds Shortest time, in milliseconds.
 * @param liveRouters Number of live routers.
 * @param transactions Transactions of the last round.
 * @example
 * ```ts
 * adaptedPeriod(5000, 390, 3); // 19500
 * ```
 */
export function adaptedPeriod(periodMilliseconds: number, liveRouters: number, transactions: number): number {
	return Math.max(periodMilliseconds, (liveRouters * Math.max(1, transactions) * 1000) / fleetTransactionsPerSecond);
}

/**
 * Writes changed totals in transactions of bounded size; what cannot be written is kept and written later.
 *
 * @example
 * ```ts
 * supervisor.start('usage', signal => writer.follow(signal));
 * await writer.flush();
 * ```
 */
export class UsageWriter {
	readonly #options: UsageWriterOptions;
	readonly #written = new Map<string, UsageTotals>();
	#transactions = 1;
	#dueAt = 0;

	constructor(options: UsageWriterOptions) {
		this.#options = options;
	}

	/** Writes again and again until the signal aborts. */
	async follow(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		const {random, wallClock, periodMilliseconds, liveRouters} = this.#options;
		this.#dueAt = wallClock() + (periodMilliseconds * random());
		await poll(async () => {
			if (wallClock() >= this.#dueAt) {
				await this.flush();
				this.#dueAt = wallClock() + adaptedPeriod(periodMilliseconds, liveRouters(), this.#transactions);
			}

			await this.#takeOver(signal);
		}, {periodMilliseconds: Math.min(lookMilliseconds, periodMilliseconds), random, signal}).drain();
		return ok();
	}

	/**
	 * Writes all totals of this router that have changed.
	 *
	 * @returns Whether all of them are written.
	 */
	async flush(): Promise<boolean> {
		const batches = batchesOf(this.#changed());
		this.#transactions = batches.length;
		for (const batch of batches) {
			if (!await this.#write(batch)) {
				return false;
			}

			for (const {workspace, totals} of batch) {
				this.#written.set(workspace, totals);
			}
		}

		return true;
	}

	#changed(): UsageRecord[] {
		const {identity, heard} = this.#options;
		const records: UsageRecord[] = [];
		for (const [workspace, totals] of heard.totals()) {
			const written = this.#written.get(workspace);
			if (!written || !sameTotals(written, totals)) {
				records.push({
					workspace, totals, host: identity.hostName, incarnation: identity.incarnation,
				});
			}
		}

		return records;
	}

	async #takeOver(signal: AbortSignal): Promise<void> {
		const {heard, store, logger, wallClock} = this.#options;
		for (const batch of batchesOf(heard.due(wallClock()))) {
			if (!await this.#write(batch) || signal.aborted) {
				return;
			}

			store.forget(batch);
			for (const record of batch) {
				heard.written(record);
			}

			logger.info('usage of a lost router written', {host: batch[0]?.host, rows: batch.length});
			await pause(takeoverPauseMilliseconds, signal);
		}
	}

	async #write(batch: UsageRecord[]): Promise<boolean> {
		const written = await this.#options.store.write(batch);
		if (written.isErr()) {
			this.#options.logger.warn('usage not written', {rows: batch.length, ...written.error});
		}

		return written.isOk();
	}
}

function batchesOf(records: UsageRecord[]): UsageRecord[][] {
	const batches: UsageRecord[][] = [];
	for (let start = 0; start < records.length; start += rowsPerTransaction) {
		batches.push(records.slice(start, start + rowsPerTransaction));
	}

	return batches;
}
