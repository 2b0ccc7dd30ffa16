/**
 * The time after which a call is sent to a second endpoint as well.
 *
 * @module
 */

/** Share of the target response time after which an idempotent call is hedged, that is, sent to a second endpoint as well. */
const hedgeShare = 0.5;

/** Minimum delay before a call is hedged, in milliseconds. */
const minimumHedgeDelayMilliseconds = 40;

/**
 * Returns the delay after which a call is hedged, in milliseconds.
 *
 * @param targetMilliseconds Target response time of the call's route.
 * @example
 * ```ts
 * hedgeDelay(120); // 60
 * ```
 */
export function hedgeDelay(targetMilliseconds: number): number {
	return Math.max(minimumHedgeDelayMilliseconds, targetMilliseconds * hedgeShare);
}
