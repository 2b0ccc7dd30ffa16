/**
 * Writes the usage totals of this router, and of peers that stopped, to the usage table.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type RouterIdentity, type UsageTotals} from '../membership/mod.ts';
import {pause, poll, type TaskFailure} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type PeerUsage} from './peer-usage.ts';
import {rowsPerTransaction, type UsageStore} from './usage-store.ts';
import {equalTotals, type UsageRecord} from './usage-row.ts';

/** Options of {@linkcode UsageWriter}. */
export type UsageWriterOptions = {
	identity: RouterIdentity;
	store: UsageStore;
	peerUsage: PeerUsage;
	logger: Logger;
	/** Minimum time between two rounds of writes, in milliseconds. */
	periodMilliseconds: number;
	/** Returns the number of live routers, which share the platform's write capacity. */
	liveRouters: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/** Limit of usage transactions per second for all routers together. */
export const fleetTransactionsPerSecond = 60;

/** Delay between two transactions for stopped peers, in milliseconds, so that the failure of a zone does not overload the platform. */
const takeoverPauseMilliseconds = 1000;

/** Time between two checks whether a round of writes is due, in milliseconds. */
const pollMilliseconds = 500;

/**
 * Returns the time between two rounds of writes at which all routers together stay within {@linkcode fleetTransactionsPerSecond}.
 *
 * @param periodMilliseconds Minimum time, in milliseconds.
 * @param liveRouters Number of live routers.
 * @param transactions Number of transactions in the last round.
 * @example
 * ```ts
 * adaptedPeriod(5000, 390, 3); // 19500
 * ```
 */
export function adaptedPeriod(periodMilliseconds: number, liveRouters: number, transactions: number): number {
	return Math.max(periodMilliseconds, (liveRouters * Math.max(1, transactions) * 1000) / fleetTransactionsPerSecond);
}

/**
 * Writes changed totals in transactions of limited size. Totals that could not be written are retried in a later round.
 *
 * @example
 * ```ts
 * supervisor.start('usage', signal => writer.run(signal));
 * await writer.flush();
 * ```
 */
export class UsageWriter {
	readonly #options: UsageWriterOptions;
	readonly #writtenTotals = new Map<string, UsageTotals>();
	#transactions = 1;
	#nextWriteAt = 0;

	constructor(options: UsageWriterOptions) {
		this.#options = options;
	}

	/** Writes periodically until the signal aborts. */
	async run(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		const {random, wallClock, periodMilliseconds, liveRouters} = this.#options;
		this.#nextWriteAt = wallClock() + (periodMilliseconds * random());
		await poll(async () => {
			if (wallClock() >= this.#nextWriteAt) {
				await this.flush();
				this.#nextWriteAt = wallClock() + adaptedPeriod(periodMilliseconds, liveRouters(), this.#transactions);
			}

			await this.#writePeerUsage(signal);
		}, {periodMilliseconds: Math.min(pollMilliseconds, periodMilliseconds), random, signal}).drain();
		return ok();
	}

	/**
	 * Writes all totals of this router that have changed.
	 *
	 * @returns Whether all of them were written.
	 */
	async flush(): Promise<boolean> {
		const batches = splitIntoBatches(this.#changedRecords());
		this.#transactions = batches.length;
		for (const batch of batches) {
			if (!await this.#writeBatch(batch)) {
				return false;
			}

			for (const {workspace, totals} of batch) {
				this.#writtenTotals.set(workspace, totals);
			}
		}

		return true;
	}

	#changedRecords(): UsageRecord[] {
		const {identity, peerUsage} = this.#options;
		const records: UsageRecord[] = [];
		for (const [workspace, totals] of peerUsage.totals()) {
			const written = this.#writtenTotals.get(workspace);
			if (!written || !equalTotals(written, totals)) {
				records.push({
					workspace, totals, host: identity.hostName, incarnation: identity.incarnation,
				});
			}
		}

		return records;
	}

	async #writePeerUsage(signal: AbortSignal): Promise<void> {
		const {peerUsage, store, logger, wallClock} = this.#options;
		for (const batch of splitIntoBatches(peerUsage.dueRecords(wallClock()))) {
			if (!await this.#writeBatch(batch) || signal.aborted) {
				return;
			}

			store.invalidate(batch);
			for (const record of batch) {
				peerUsage.removeWritten(record);
			}

			logger.info('usage of a lost router written', {host: batch[0]?.host, rows: batch.length});
			await pause(takeoverPauseMilliseconds, signal);
		}
	}

	async #writeBatch(batch: UsageRecord[]): Promise<boolean> {
		const written = await this.#options.store.write(batch);
		if (written.isErr()) {
			this.#options.logger.warn('usage not written', {rows: batch.length, ...written.error});
		}

		return written.isOk();
	}
}

function splitIntoBatches(records: UsageRecord[]): UsageRecord[][] {
	const batches: UsageRecord[][] = [];
	for (let start = 0; start < records.length; start += rowsPerTransaction) {
		batches.push(records.slice(start, start + rowsPerTransaction));
	}

	return batches;
}
