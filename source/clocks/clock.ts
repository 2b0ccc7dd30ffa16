/**
 * Paired steady and wall-clock readings that reveal a suspension of the host.
 *
 * @module
 */

/** Readings of the steady and the wall clock at one moment. */
export type ClockReading = {
	/** Steady (monotonic) time, in milliseconds; does not advance while the host is suspended. */
	steady: number;
	/** Wall-clock time, in Unix milliseconds; advances during a suspension, and may jump. */
	wall: number;
};

/** Difference between the advances of both clocks above which the host is taken to have been suspended, in milliseconds. */
const suspensionThresholdMilliseconds = 250;

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
 * Returns the time elapsed since a reading; infinite when the host may have been suspended in between.
 *
 * A forward jump of the wall clock cannot be told from a suspension and is treated as one; it costs one extra call to the store.
 *
 * @param since Earlier reading.
 * @param now Current reading.
 * @returns Age in milliseconds.
 */
export function ageOf(since: ClockReading, now: ClockReading): number {
	const steadyAge = now.steady - since.steady;
	const wallAge = now.wall - since.wall;
	return wallAge - steadyAge > suspensionThresholdMilliseconds ? Number.POSITIVE_INFINITY : steadyAge;
}

/**
 * Returns whether both clocks have advanced alike since a reading, so that the steady one shows the time that has passed. A step of the wall
 * clock in either direction cannot be told from a suspension, or hides one.
 *
 * @param since Earlier reading.
 * @param now Current reading.
 */
export function isContinuous(since: ClockReading, now: ClockReading): boolean {
	return Math.abs((now.wall - since.wall) - (now.steady - since.steady)) <= suspensionThresholdMilliseconds;
}
