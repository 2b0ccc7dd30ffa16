/**
 * Measures how long admitted requests hold their tokens, to derive the drain rate of a service.
 *
 * @module
 */

/** Weight of a new measurement in the exponential moving average. */
const smoothingFactor = 0.1;

/**
 * Estimates the tokens that a service releases in a second: by Little's law, the tokens in progress of a full service divided by their hold time.
 *
 * @example
 * ```ts
 * holdTime.record(heldMilliseconds);
 * const perSecond = holdTime.drainRate(capacity, meanAge);
 * ```
 */
export class HoldTime {
	#meanMilliseconds: number | undefined;

	/** Records how long a request that has ended held its tokens, in milliseconds. */
	record(milliseconds: number): void {
		this.#meanMilliseconds = this.#meanMilliseconds === undefined
			? milliseconds
			: this.#meanMilliseconds + (smoothingFactor * (milliseconds - this.#meanMilliseconds));
	}

	/**
	 * Returns the tokens that a full service releases in a second, which is the rate at which queued requests start.
	 *
	 * @param capacity Maximum number of tokens in progress.
	 * @param meanAge Mean age of the requests in progress, in milliseconds; replaces the mean hold time when it is longer, as when requests stall.
	 * @returns Tokens per second; infinite before the first measurement, 0 without capacity.
	 */
	drainRate(capacity: number, meanAge: number): number {
		if (capacity <= 0) {
			return 0;
		}

		if (this.#meanMilliseconds === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		return capacity / (Math.max(this.#meanMilliseconds, meanAge, 1) / 1000);
	}
}
