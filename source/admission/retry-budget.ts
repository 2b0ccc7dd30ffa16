/**
 * A budget of retries, as a share of first attempts.
 *
 * @module
 */

/** Options of {@linkcode RetryBudget}. */
export type RetryBudgetOptions = {
	/** Retries allowed for each first attempt. Default 0.2. */
	share?: number;
	/** Retries that can be saved up. Default 50. */
	largest?: number;
	/** Retries allowed in a second whatever the number of first attempts. Default 1. */
	perSecond?: number;
};

/** Delay of a first retry beyond the budget, in milliseconds; it doubles with each further one. */
const firstDelayMilliseconds = 100;

/** Longest delay of a retry, in milliseconds. */
const longestDelayMilliseconds = 2000;

/**
 * Allows retries while they are few beside first attempts, so that a fault is not answered by a storm of them.
 *
 * @example
 * ```ts
 * budget.firstAttempt();
 * if (!budget.take(now)) {
 * 	await pause(retryDelay(attempt, random()));
 * }
 * ```
 */
export class RetryBudget {
	readonly #options: Required<RetryBudgetOptions>;
	#available: number;
	#refilledAt: number | undefined;

	constructor(options: RetryBudgetOptions = {}) {
		this.#options = {
			share: 0.2, largest: 50, perSecond: 1, ...options,
		};
		this.#available = this.#options.largest;
	}

	/** Records a first attempt. */
	firstAttempt(): void {
		this.#add(this.#options.share);
	}

	/**
	 * Takes one retry from the budget.
	 *
	 * @param now Monotonic time, in milliseconds.
	 * @returns Whether the retry may be made now.
	 */
	take(now: number): boolean {
		this.#add(Math.max(0, now - (this.#refilledAt ?? now)) / 1000 * this.#options.perSecond);
		this.#refilledAt = now;
		if (this.#available < 1) {
			return false;
		}

		this.#available -= 1;
		return true;
	}

	#add(retries: number): void {
		this.#available = Math.min(this.#options.largest, this.#available + retries);
	}
}

/**
 * Returns the jittered delay of a retry.
 *
 * @param retry Number of the retry, from 1.
 * @param random Random number from 0 to 1.
 * @returns Milliseconds.
 * @example
 * ```ts
 * await pause(retryDelay(2, Math.random()));
 * ```
 */
export function retryDelay(retry: number, random: number): number {
	const longest = Math.min(firstDelayMilliseconds * (2 ** Math.min(retry, 16)), longestDelayMilliseconds);
	return longest * (0.5 + (random / 2));
}
