/**
 * Counts how often a request that ends endpoints is sent to them once that must be known.
 *
 * @module
 */

/** Ends of endpoints after which a request must be held back. */
export const knownAfterEnds = 3;

/** Ends of endpoints after which requests with a part of a prompt must be held back. */
export const partKnownAfterEnds = 5;

/** Sends that are allowed once it must be. */
export const allowedLateSends = 3;

/** What endpoints saw of one request, or of all requests with a part of a prompt; times are steady, in milliseconds. */
export type RequestSightings = {
	/** When it reached an endpoint, whether that ran it or refused it. */
	arrivals: readonly number[];
	/** When an endpoint's process ended under it. */
	ends: readonly number[];
};

/**
 * Returns the arrivals that come later than a time after the end by which all must know.
 *
 * @param sightings What endpoints saw.
 * @param knownMilliseconds Time after that end within which all must know.
 * @param knownAfter Number of that end. Default {@linkcode knownAfterEnds}.
 */
export function findLateSends({arrivals, ends}: RequestSightings, knownMilliseconds: number, knownAfter = knownAfterEnds): number[] {
	const knownEnd = ends.toSorted((one, other) => one - other)[knownAfter - 1];
	return knownEnd === undefined ? [] : arrivals.filter(at => at > knownEnd + knownMilliseconds);
}
