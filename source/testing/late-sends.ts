/**
 * Counts how often a request that ends endpoints is sent to them once that must be known.
 *
 * @module
 */

/** Ends of endpoints after which a request must be held back. */
export const knownAfterEnds = 3;

/** Sends that are allowed once it must be. */
export const allowedLateSends = 3;

/** What endpoints saw of one request; times are steady, in milliseconds. */
export type RequestSightings = {
	/** When it reached an endpoint, whether that ran it or refused it. */
	arrivals: readonly number[];
	/** When an endpoint's process ended under it. */
	ends: readonly number[];
};

/**
 * Returns the arrivals that come later than a time after the third end.
 *
 * @param sightings What endpoints saw.
 * @param knownMilliseconds Time after the third end within which all must know.
 */
export function findLateSends({arrivals, ends}: RequestSightings, knownMilliseconds: number): number[] {
	const thirdEnd = ends.toSorted((one, other) => one - other)[knownAfterEnds - 1];
	return thirdEnd === undefined ? [] : arrivals.filter(at => at > thirdEnd + knownMilliseconds);
}
