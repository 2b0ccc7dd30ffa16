/**
 * The small table of convicted requests, which every router reads.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type PlatformClient, type Row} from '../../table-service/mod.ts';
import {poll, type TaskFailure} from '../../supervision/mod.ts';
import {type Logger} from '../../telemetry/mod.ts';
import {type Suspects} from './suspects.ts';

const table = 'refused';

const rowSchema = z.object({expiresAt: z.number()});

/** Rows read at once; convictions are rare and expire. */
const longestList = 1000;

/** Share of the reads after which a router removes the expired rows that it saw. */
const removalShare = 0.02;

/** Options of {@linkcode RefusedRequests}. */
export type RefusedRequestsOptions = {
	platform: Pick<PlatformClient, 'transact' | 'read' | 'list'>;
	suspects: Suspects;
	logger: Logger;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Mean time between two reads of the table, in milliseconds. Default 1,000. */
	periodMilliseconds?: number;
};

/**
 * Writes convictions to the table and learns those of others from it.
 *
 * While the table cannot be reached, a conviction holds at this router and is written later.
 *
 * @example
 * ```ts
 * await refused.save(digest, expiresAt);
 * supervisor.start('refused', signal => refused.follow(signal));
 * ```
 */
export class RefusedRequests {
	readonly #options: RefusedRequestsOptions;
	readonly #unsaved = new Map<string, number>();

	constructor(options: RefusedRequestsOptions) {
		this.#options = options;
	}

	/** Writes a conviction; the following reads write it again until it is known to be there. */
	async save(digest: string, expiresAt: number): Promise<void> {
		this.#unsaved.set(digest, expiresAt);
		await this.#saveAll();
	}

	/** Reads whether a request was convicted elsewhere. */
	async read(digest: string): Promise<void> {
		const rows = await this.#options.platform.read([{table, key: digest}]);
		if (rows.isOk()) {
			this.#learn(rows.value);
		}
	}

	/**
	 * Reads the table again and again.
	 *
	 * @param signal Ends the task.
	 */
	async follow(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		const {platform, logger, random, periodMilliseconds = 1000} = this.#options;
		const read = async () => {
			await this.#saveAll();
			return platform.list({table, prefix: '', limit: longestList});
		};

		await poll(read, {periodMilliseconds, random, signal}).observe(rows => {
			if (rows.isErr()) {
				logger.warn('refused requests not read', rows.error);
				return;
			}

			this.#learn(rows.value);
			if (random() < removalShare) {
				void this.#removeExpired(rows.value);
			}
		});
		return ok();
	}

	#learn(rows: Row[]): void {
		for (const {key, value} of rows) {
			const checked = rowSchema.safeParse(value);
			if (checked.success) {
				this.#options.suspects.hear(key, checked.data.expiresAt);
			}
		}
	}

	async #saveAll(): Promise<void> {
		for (const [key, expiresAt] of this.#unsaved) {
			const saved = await this.#options.platform.transact([{
				kind: 'put', table, key, value: {expiresAt}, condition: {kind: 'always'},
			}]);
			if (saved.isOk()) {
				this.#unsaved.delete(key);
			}
		}
	}

	async #removeExpired(rows: Row[]): Promise<void> {
		const now = this.#options.wallClock();
		for (const {key, value, revision} of rows) {
			const checked = rowSchema.safeParse(value);
			if (checked.success && checked.data.expiresAt < now) {
				await this.#options.platform.transact([{
					kind: 'delete', table, key, condition: {kind: 'revision', revision},
				}]);
			}
		}
	}
}
