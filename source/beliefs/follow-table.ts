/**
 * Follows the changes of one table of the store.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type StoreFailure, type StoredRow, type StoredRows} from '../platform/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ClockReading} from './clock.ts';
import {type StoreClock} from './store-clock.ts';

/** The calls of the store that a follower makes. */
export type TableReader = {
	readTable(table: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>>;
	changes(table: string, revision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>>;
};

/** Receives what the store tells. */
export type TableListener = {
	/** The whole table. */
	replace(rows: readonly StoredRow[], revision: number): void;
	/** Rows that changed. */
	apply(rows: readonly StoredRow[], revision: number): void;
	/** All changes up to a revision have been told, and at this time nothing newer was in the table. */
	confirm(revision: number, at: ClockReading): void;
	/** The store answers again after it had not. */
	recovered?(): void;
};

/** Has all followers of a store ask anew once one of them gets no answer: when one open connection has gone silent, others may have too. */
export class FollowRenewal {
	readonly #questions = new Set<AbortController>();

	/**
	 * Asks a question that ends early when it is to be asked anew.
	 *
	 * @param ask The question.
	 * @param signal Ends it too.
	 * @returns The answer; `renewed` where it is to be asked anew.
	 */
	async run<Answer>(ask: (signal: AbortSignal) => Promise<Answer>, signal: AbortSignal): Promise<Answer | 'renewed'> {
		const question = new AbortController();
		const end = () => {
			question.abort();
		};

		this.#questions.add(question);
		signal.addEventListener('abort', end);
		try {
			const answer = await ask(question.signal);
			return question.signal.aborted ? 'renewed' : answer;
		} finally {
			this.#questions.delete(question);
			signal.removeEventListener('abort', end);
		}
	}

	/** Has all questions asked anew. */
	renew(): void {
		for (const question of this.#questions) {
			question.abort();
		}
	}
}

/** Options of {@linkcode followTable}. */
export type FollowTableOptions = {
	store: TableReader;
	table: string;
	listener: TableListener;
	logger: Logger;
	/** Time between two questions, for which the store is asked to wait for a change, in milliseconds. */
	roundMilliseconds: number;
	/** Part of that time which passes after an answer with changes, so that more of them come in one answer, in milliseconds. */
	gatherMilliseconds: number;
	/** Longest pause after a failed call, in milliseconds. Default 800. */
	longestRetryMilliseconds?: number;
	/** Shared by the followers of one store. */
	renewal: FollowRenewal;
	/** Whether to follow now; while it returns false, the table is left alone. Default always. */
	wanted?: () => boolean;
	readClock: () => ClockReading;
	storeClock: StoreClock;
	random: () => number;
};

/** First pause after a failed call, in milliseconds. */
const firstRetryMilliseconds = 100;

/** Time between two looks at whether to follow, in milliseconds. */
const lookMilliseconds = 250;

/**
 * Follows a table until the signal aborts: reads it whole, then its changes, and whole again when the store has dropped them.
 *
 * @param options Store, table and listener.
 * @param signal Ends the task.
 * @example
 * ```ts
 * supervisor.start('endpoints', signal => followTable({store, table, listener, ...options}, signal));
 * ```
 */
export async function followTable(options: FollowTableOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {table, logger, listener, roundMilliseconds, gatherMilliseconds, random, renewal, wanted = () => true, longestRetryMilliseconds = 800} = options;
	let revision: number | undefined;
	let failures = 0;
	let gathered = 0;
	while (!signal.aborted) {
		if (!wanted()) {
			await pause(lookMilliseconds, signal);
			continue;
		}

		const since = revision;
		const waitMilliseconds = roundMilliseconds - gathered;
		const asked = await renewal.run(async ending => askOnce(options, since, waitMilliseconds, ending), signal);
		if (asked === 'renewed') {
			continue;
		}

		if (asked.isOk()) {
			if (failures > 0) {
				logger.info('table is followed again', {table, failures, revision: asked.value.revision});
				listener.recovered?.();
			}

			failures = 0;
			revision = asked.value.revision;
			gathered = asked.value.changes > 0 ? gatherMilliseconds : 0;
			await pause(gathered, signal);
			continue;
		}

		if (failures === 0) {
			logger.warn('table cannot be followed', {table, revision, reason: asked.error.message});
			if (asked.error.kind === 'unknown') {
				renewal.renew();
			}
		}

		failures += 1;
		if (asked.error.kind === 'history-lost') {
			revision = undefined;
			continue;
		}

		const longest = Math.min(longestRetryMilliseconds, firstRetryMilliseconds * (2 ** Math.min(failures, 6)));
		await pause(longest * (0.5 + (random() / 2)), signal);
	}

	return ok();
}

/** Asks the store once and tells the listener; returns the revision to go on from, and how many rows changed. */
async function askOnce(options: FollowTableOptions, revision: number | undefined, waitMilliseconds: number, signal: AbortSignal): Promise<Result<{revision: number; changes: number}, StoreFailure>> {
	const {store, table, listener, readClock, storeClock} = options;
	const askedAt = readClock();
	const answer = revision === undefined
		? await store.readTable(table, signal)
		: await store.changes(table, revision, waitMilliseconds, signal);
	return answer.map(({rows, revision: newest, storeMilliseconds}) => {
		if (revision === undefined) {
			listener.replace(rows, newest);
		} else {
			listener.apply(rows, newest);
		}

		listener.confirm(newest, storeClock.lookedAt(askedAt, readClock(), storeMilliseconds));
		return {revision: Math.max(newest, revision ?? 0), changes: revision === undefined ? 0 : rows.length};
	});
}
