/**
 * Follows the changes of one table of the store by long polling.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {
	type StoreFailure, type StoredRow, type StoredRows, eraOf,
} from '../stored-rows/mod.ts';
import {type ClockReading} from '../clocks/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type StoreClock} from './store-clock.ts';

/** The store calls that a follower makes. */
export type TableReader = {
	readTable(table: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>>;
	changes(table: string, revision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>>;
};

/** Receives the rows that the store returns. */
export type TableListener = {
	/** Called with the whole table. */
	replace(rows: readonly StoredRow[], revision: number): void;
	/** Called with the rows that changed. */
	apply(rows: readonly StoredRow[], revision: number): void;
	/** Called when all changes up to a revision have been delivered and the table held none later at the given time. */
	confirm(revision: number, readAt: ClockReading): void;
	/** Called when the store responds again after failed calls, and before the whole table is replaced after the store came back from an older copy. */
	recovered?(): void;
};

/** Restarts the polls of all followers of a store when one of them gets no response: if one open connection has gone silent, others may have too. */
export class PollRenewal {
	readonly #polls = new Set<AbortController>();

	/**
	 * Runs a poll that {@linkcode PollRenewal.renewAll} can abort.
	 *
	 * @param poll Sends the request; its signal aborts it.
	 * @param signal Aborts it as well.
	 * @returns The response, or `renewed` if the poll was aborted.
	 */
	async run<Response>(poll: (signal: AbortSignal) => Promise<Response>, signal: AbortSignal): Promise<Response | 'renewed'> {
		const controller = new AbortController();
		const abort = () => {
			controller.abort();
		};

		this.#polls.add(controller);
		signal.addEventListener('abort', abort);
		try {
			const response = await poll(controller.signal);
			return controller.signal.aborted ? 'renewed' : response;
		} finally {
			this.#polls.delete(controller);
			signal.removeEventListener('abort', abort);
		}
	}

	/** Aborts all current polls, so that their followers send them again. */
	renewAll(): void {
		for (const controller of this.#polls) {
			controller.abort();
		}
	}
}

/** Options of {@linkcode followTable}. */
export type FollowTableOptions = {
	store: TableReader;
	table: string;
	listener: TableListener;
	logger: Logger;
	/** Interval between two polls, during which the store may wait for a change, in milliseconds; read again before each poll. */
	pollMilliseconds: number;
	/** Part of that interval to pause after a response with changes, so that the next response carries several of them, in milliseconds. */
	batchMilliseconds: number;
	/** Time for which the store may wait for a change after a failure or an interruption, in milliseconds. Default 0, so that the rows are confirmed at once. */
	waitAfterGapMilliseconds?: number;
	/** Longest backoff after a failed call, in milliseconds. Default 800. */
	longestRetryMilliseconds?: number;
	/** Shared by all followers of one store. */
	renewal: PollRenewal;
	/** Returns whether to follow the table now; it is not polled while this returns false. Default: always. */
	shouldFollow?: () => boolean;
	readClock: () => ClockReading;
	storeClock: StoreClock;
	random: () => number;
};

/** Base of the exponential backoff after failed calls, in milliseconds. */
const firstRetryMilliseconds = 100;

/** Interval at which a paused follower checks whether to follow again, in milliseconds. */
const recheckMilliseconds = 250;

/**
 * Follows a table until the signal aborts: reads the whole table, then its changes, and the whole table again if the store has dropped changes.
 *
 * @param options Store, table and listener.
 * @param signal Aborts the task.
 * @example
 * ```ts
 * supervisor.start('endpoints', signal => followTable({store, table, listener, ...options}, signal));
 * ```
 */
export async function followTable(options: FollowTableOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {table, logger, listener, batchMilliseconds, random, renewal} = options;
	const {shouldFollow = () => true, waitAfterGapMilliseconds = 0, longestRetryMilliseconds = 800} = options;
	let revision: number | undefined;
	/** Era of the last rows received. */
	let era: number | undefined;
	let failures = 0;
	let nextWaitMilliseconds = waitAfterGapMilliseconds;
	/** Failures since the last response that the store was allowed to hold: the backoff also grows where only polls without a wait succeed. */
	let backoffSteps = 0;
	while (!signal.aborted) {
		if (!shouldFollow()) {
			nextWaitMilliseconds = waitAfterGapMilliseconds;
			await pause(recheckMilliseconds, signal);
			continue;
		}

		const position = {revision, era};
		const waitMilliseconds = nextWaitMilliseconds;
		nextWaitMilliseconds = waitAfterGapMilliseconds;
		const polled = await renewal.run(async abortSignal => pollOnce(options, position, waitMilliseconds, abortSignal), signal);
		if (polled === 'renewed') {
			continue;
		}

		if (polled.isOk()) {
			if (failures > 0) {
				logger.info('table is followed again', {table, failures, revision: polled.value.revision});
				listener.recovered?.();
			}

			failures = 0;
			backoffSteps = waitMilliseconds > 0 ? 0 : backoffSteps;
			revision = polled.value.revision;
			era = eraOf(revision);
			const batchPauseMilliseconds = polled.value.changes > 0 ? batchMilliseconds : 0;
			nextWaitMilliseconds = options.pollMilliseconds - batchPauseMilliseconds;
			await pause(batchPauseMilliseconds, signal);
			continue;
		}

		if (failures === 0) {
			logger.warn('table cannot be followed', {table, revision, reason: polled.error.message});
			if (polled.error.kind === 'unknown') {
				renewal.renewAll();
			}
		}

		failures += 1;
		backoffSteps += 1;
		if (polled.error.kind === 'history-lost') {
			revision = undefined;
			continue;
		}

		const backoffMilliseconds = Math.min(longestRetryMilliseconds, firstRetryMilliseconds * (2 ** Math.min(backoffSteps, 6)));
		await pause(backoffMilliseconds * (0.5 + (random() / 2)), signal);
	}

	return ok();
}

/** Where a follower is: the revision to continue from, undefined to read the whole table, and the era of the last rows. */
type FollowPosition = {revision: number | undefined; era: number | undefined};

/** Polls the store once and passes the rows to the listener; returns the revision to continue from and the number of changed rows. */
async function pollOnce(options: FollowTableOptions, {revision, era}: FollowPosition, waitMilliseconds: number, signal: AbortSignal): Promise<Result<{revision: number; changes: number}, StoreFailure>> {
	const {store, table, listener, logger, readClock, storeClock} = options;
	const requestedAt = readClock();
	const response = revision === undefined
		? await store.readTable(table, signal)
		: await store.changes(table, revision, waitMilliseconds, signal);
	return response.map(({rows, revision: newest, storeMilliseconds}) => {
		if (era !== undefined && eraOf(newest) > era) {
			logger.warn('store came back from an older copy', {table, era: eraOf(newest), revision: newest});
			listener.recovered?.();
		}

		if (revision === undefined) {
			listener.replace(rows, newest);
		} else {
			listener.apply(rows, newest);
		}

		listener.confirm(newest, storeClock.readTime(requestedAt, readClock(), storeMilliseconds));
		return {revision: Math.max(newest, revision ?? 0), changes: revision === undefined ? 0 : rows.length};
	});
}
