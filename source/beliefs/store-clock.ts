/**
 * Maps the store's steady time to this host's.
 *
 * @module
 */
import {type ClockReading} from './clock.ts';

/** Time by which a mapped moment may lie ahead of the answer that told it, in milliseconds; more shows a suspension. */
const toleratedMilliseconds = 5;

/**
 * Learns from each answer how both clocks lie to each other, and tells how recent an answer is that was waited for.
 *
 * The store looked after it was asked, so its time then is at least the time at which it was asked; the call with the shortest way
 * there gives the closest bound.
 *
 * @example
 * ```ts
 * const lookedAt = clock.lookedAt(askedAt, answeredAt, storeMilliseconds);
 * ```
 */
export class StoreClock {
	/** Least difference between this host's steady time and the store's. */
	#difference = Number.NEGATIVE_INFINITY;

	/**
	 * Returns a time at or before the moment at which the store looked, as close to it as is certain.
	 *
	 * @param askedAt Time of the question.
	 * @param answeredAt Time of the answer.
	 * @param storeMilliseconds The store's time when it looked; absent where it does not say.
	 */
	lookedAt(askedAt: ClockReading, answeredAt: ClockReading, storeMilliseconds: number | undefined): ClockReading {
		if (storeMilliseconds === undefined) {
			return askedAt;
		}

		const known = storeMilliseconds + this.#difference;
		if (known > answeredAt.steady + toleratedMilliseconds) {
			// The steady clock stood still while the host was suspended.
			this.#difference = askedAt.steady - storeMilliseconds;
			return askedAt;
		}

		this.#difference = Math.max(this.#difference, askedAt.steady - storeMilliseconds);
		const steady = Math.min(storeMilliseconds + this.#difference, answeredAt.steady);
		return {steady, wall: answeredAt.wall - (answeredAt.steady - steady)};
	}
}
