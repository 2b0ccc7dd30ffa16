/**
 * The table of blocked requests, which every router reads.
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

/** Maximum number of rows read at once; blocked requests are rare and expire. */
const listLimit = 1000;

/** Probability that a router removes the expired rows after a read. */
const removalProbability = 0.02;

/** Options of {@linkcode BlockedRequests}. */
export type BlockedRequestsOptions = {
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
 * Writes blocked requests to the table and reads those of other routers from it.
 *
 * While the table is unavailable, a request is blocked at this router only and written later.
 *
 * @example
 * ```ts
 * await blockedRequests.save(digest, expiresAt);
 * supervisor.start('refused', signal => blockedRequests.follow(signal));
 * ```
 */
export class BlockedRequests {
	readonly #options: BlockedRequestsOptions;
	readonly #unsaved = new Map<string, number>();

	constructor(options: BlockedRequestsOptions) {
		this.#options = options;
	}

	/** Writes a blocked request; if that fails, {@linkcode BlockedRequests.follow} retries before each read. */
	async save(digest: string, expiresAt: number): Promise<void> {
		this.#unsaved.set(digest, expiresAt);
		await this.#saveAll();
	}

	/** Reads whether another router has blocked a request. */
	async read(digest: string): Promise<void> {
		const rows = await this.#options.platform.read([{table, key: digest}]);
		if (rows.isOk()) {
			this.#apply(rows.value);
		}
	}

	/**
	 * Reads the table periodically.
	 *
	 * @param signal Ends the task.
	 */
	async follow(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		const {platform, logger, random, periodMilliseconds = 1000} = this.#options;
		const read = async () => {
			await this.#saveAll();
			return platform.list({table, prefix: '', limit: listLimit});
		};

		await poll(read, {periodMilliseconds, random, signal}).observe(rows => {
			if (rows.isErr()) {
				logger.warn('cannot read the table of blocked requests', rows.error);
				return;
			}

			this.#apply(rows.value);
			if (random() < removalProbability) {
				void this.#removeExpired(rows.value);
			}
		});
		return ok();
	}

	#apply(rows: Row[]): void {
		for (const {key, value} of rows) {
			const checked = rowSchema.safeParse(value);
			if (checked.success) {
				this.#options.suspects.receiveBlock(key, checked.data.expiresAt);
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
