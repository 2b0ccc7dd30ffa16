/**
 * Limits retries to a ratio of first attempts.
 *
 * @module
 */

/** Options of {@linkcode RetryBudget}. */
export type RetryBudgetOptions = {
	/** Retries added to the budget by each first attempt. Default 0.2. */
	ratio?: number;
	/** Maximum number of available retries, also the initial number. Default 50. */
	capacity?: number;
	/** Retries added to the budget each second, whatever the number of first attempts. Default 1. */
	perSecond?: number;
};

/** Base of the exponential backoff of retries, in milliseconds; doubles with each retry. */
const initialDelayMilliseconds = 100;

/** Maximum delay of a retry, in milliseconds. */
const maximumDelayMilliseconds = 2000;

/**
 * Allows retries while they are few relative to first attempts, which prevents retry storms during a fault.
 *
 * @example
 * ```ts
 * budget.recordFirstAttempt();
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
			ratio: 0.2, capacity: 50, perSecond: 1, ...options,
		};
		this.#available = this.#options.capacity;
	}

	/** Records a first attempt, which adds to the budget. */
	recordFirstAttempt(): void {
		this.#add(this.#options.ratio);
	}

	/**
	 * Takes one retry from the budget, if available.
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
		this.#available = Math.min(this.#options.capacity, this.#available + retries);
	}
}

/**
 * Returns the delay of a retry: exponential backoff with jitter.
 *
 * @param retryNumber Number of the retry, from 1.
 * @param random Random number from 0 to 1.
 * @returns Delay, in milliseconds.
 * @example
 * ```ts
 * await pause(retryDelay(2, Math.random()));
 * ```
 */
export function retryDelay(retryNumber: number, random: number): number {
	const maximum = Math.min(initialDelayMilliseconds * (2 ** Math.min(retryNumber, 16)), maximumDelayMilliseconds);
	return maximum * (0.5 + (random / 2));
}
