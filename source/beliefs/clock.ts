/**
 * A clock that shows when the host was suspended.
 *
 * @module
 */

/** Readings of both clocks at one moment. */
export type ClockReading = {
	/** Steady time, in milliseconds; does not count while the host is suspended. */
	steady: number;
	/** Time of day, in Unix milliseconds; counts always, and may jump. */
	wall: number;
};

/** Difference between both clocks beyond which the host counts as suspended, in milliseconds. */
const suspensionMilliseconds = 250;

/**
 * Reads both clocks.
 *
 * @example
 * ```ts
 * const now = readClock();
 * ```
 */
export function readClock(): ClockReading {
	return {steady: performance.now(), wall: Date.now()};
}

/**
 * Returns the time that has certainly not been exceeded since a reading; infinite when the host may have been suspended between.
 *
 * A jump of the time of day forward looks like a suspension. It is taken for one, since the cost is one more call to the store.
 *
 * @param since Earlier reading.
 * @param now Present reading.
 * @returns Age in milliseconds.
 */
export function ageOf(since: ClockReading, now: ClockReading): number {
	const steadyAge = now.steady - since.steady;
	const wallAge = now.wall - since.wall;
	return wallAge - steadyAge > suspensionMilliseconds ? Number.POSITIVE_INFINITY : steadyAge;
}
