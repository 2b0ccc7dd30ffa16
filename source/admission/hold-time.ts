/**
 * How long admitted work holds its tokens, from which the drain rate of a service follows.
 *
 * @module
 */

/** Weight of a new measurement in the mean, for each share of the capacity that it held. */
const learningRate = 0.1;

/**
 * Estimates the tokens that a service gives back in a second: by Little's law, tokens in progress over the time they are held.
 *
 * @example
 * ```ts
 * holdTime.released(heldMilliseconds);
 * const perSecond = holdTime.drainRate(tokensInProgress);
 * ```
 */
export class HoldTime {
	#meanMilliseconds: number | undefined;

	/** Learns from work that has ended, by the time for which it held its tokens, in milliseconds. */
	released(milliseconds: number): void {
		this.#meanMilliseconds = this.#meanMilliseconds === undefined
			? milliseconds
			: this.#meanMilliseconds + (learningRate * (milliseconds - this.#meanMilliseconds));
	}

	/**
	 * Returns the tokens that start in a second while the service is full.
	 *
	 * @param capacity Tokens that may be in progress.
	 * @param meanAge Mean age of the work in progress, in milliseconds; it counts when work has stalled.
	 * @returns Tokens a second; infinite before the first measurement, 0 without capacity.
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
