/**
 * Maps the store's steady time to the steady time of this host.
 *
 * @module
 */
import {type ClockReading} from '../clocks/mod.ts';

/** Time by which a mapped store time may exceed the arrival of its response, in milliseconds; a larger excess indicates a suspension. */
const toleranceMilliseconds = 5;

/**
 * Estimates the offset between both clocks from each response, to determine how recent the response to a long poll is.
 *
 * The store reads after the request was sent, so its read time, mapped to this host, is no earlier than the time of sending; the request
 * with the shortest delay gives the tightest bound.
 *
 * @example
 * ```ts
 * const readTime = clock.readTime(requestedAt, respondedAt, storeMilliseconds);
 * ```
 */
export class StoreClock {
	/** Lower bound of this host's steady time minus the store's, in milliseconds: the largest value seen. */
	#offsetMilliseconds = Number.NEGATIVE_INFINITY;

	/**
	 * Returns the latest time that is certainly no later than the store's read.
	 *
	 * @param requestedAt Time at which the request was sent.
	 * @param respondedAt Time at which the response arrived.
	 * @param storeMilliseconds The store's steady time at its read; undefined if it does not report it.
	 */
	readTime(requestedAt: ClockReading, respondedAt: ClockReading, storeMilliseconds: number | undefined): ClockReading {
		if (storeMilliseconds === undefined) {
			return requestedAt;
		}

		const mappedReadTime = storeMilliseconds + this.#offsetMilliseconds;
		if (mappedReadTime > respondedAt.steady + toleranceMilliseconds) {
			// This host's steady clock stopped during a suspension, so the offset is estimated anew.
			this.#offsetMilliseconds = requestedAt.steady - storeMilliseconds;
			return requestedAt;
		}

		this.#offsetMilliseconds = Math.max(this.#offsetMilliseconds, requestedAt.steady - storeMilliseconds);
		const steady = Math.min(storeMilliseconds + this.#offsetMilliseconds, respondedAt.steady);
		return {steady, wall: respondedAt.wall - (respondedAt.steady - steady)};
	}
}
