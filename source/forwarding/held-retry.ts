/**
 * The retry that a generation has taken from the budget for its next attempt.
 *
 * @module
 */

/** Options of {@linkcode HeldRetry}. */
export type HeldRetryOptions = {
	/** Takes a retry from the budget; returns whether it allows one. */
	acquire: (reason: string, waits: boolean) => Promise<boolean>;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

/** Time for which a retry may be held before it is used, in milliseconds: the budget counts it when it is taken, so it must be sent soon after. */
const maximumHeldMilliseconds = 500;

/**
 * Holds one retry until it is used, and takes another one if it was held for too long.
 *
 * Load: many generations wait for an engine with a retry in hand, and are sent at the same moment, in a window in which the retries were not
 * counted.
 *
 * @example
 * ```ts
 * if (await retry.take('lost', {waits: true})) retry.use();
 * ```
 */
export class HeldRetry {
	readonly #options: HeldRetryOptions;
	/** Monotonic time at which it was taken, in milliseconds; absent if none is held. */
	#takenAt: number | undefined;

	constructor(options: HeldRetryOptions) {
		this.#options = options;
	}

	/** Whether one is held that may still be used. */
	get isHeld(): boolean {
		return this.#takenAt !== undefined && this.#options.clock() - this.#takenAt < maximumHeldMilliseconds;
	}

	/** Takes a retry unless one is held; returns whether one is held then. */
	async take(reason: string, {waits = false}: {waits?: boolean} = {}): Promise<boolean> {
		if (this.isHeld) {
			return true;
		}

		this.#takenAt = await this.#options.acquire(reason, waits) ? this.#options.clock() : undefined;
		return this.#takenAt !== undefined;
	}

	/** Uses the one that is held. */
	use(): void {
		this.#takenAt = undefined;
	}
}
