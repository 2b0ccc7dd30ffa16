/**
 * Derives the polling intervals for the store and other gateways from the time within which updates must arrive.
 *
 * @module
 */

/** Intervals and ages that together keep the delay of updates within a bound, in milliseconds. */
export type UpdateTimes = {
	/** Interval between two polls of the store, during which it may wait for a change. */
	storePollMilliseconds: number;
	/** Pause after a response with changes, so that changes within it arrive in one response. */
	batchMilliseconds: number;
	/** Interval between two requests to another gateway. */
	sourcePollMilliseconds: number;
	/** Age directly after a response of another gateway above which that gateway has fallen behind and the next one is queried. */
	sourceBehindMilliseconds: number;
	/** Age above which a gateway that follows the store queries other gateways as well. */
	sourceFallbackMilliseconds: number;
	/** Age above which a gateway reads from the store itself. */
	storeFallbackMilliseconds: number;
};

/**
 * Divides the time within which updates must arrive. In normal operation the delay of an update is at most one poll of the store plus
 * one request between gateways; the rest lets a gateway detect that its source has fallen behind and read from the store in time.
 *
 * @param boundMilliseconds Time within which updates must arrive.
 * @example
 * ```ts
 * divideUpdateTime(2000).storePollMilliseconds; // 1000
 * ```
 */
export function divideUpdateTime(boundMilliseconds: number): UpdateTimes {
	return {
		storePollMilliseconds: boundMilliseconds * 0.5,
		batchMilliseconds: boundMilliseconds * 0.35,
		sourcePollMilliseconds: boundMilliseconds * 0.15,
		sourceBehindMilliseconds: boundMilliseconds * 0.6,
		sourceFallbackMilliseconds: boundMilliseconds * 0.7,
		storeFallbackMilliseconds: boundMilliseconds * 0.8,
	};
}
