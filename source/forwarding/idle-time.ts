/**
 * How long an idle connection may be used again.
 *
 * @module
 */

/** Part of an endpoint's idle timeout that is left unused, so that a request and the endpoint's close do not cross. */
const unusedShare = 0.2;

/** Shortest part of an endpoint's idle timeout that is left unused, in milliseconds: noise of both hosts and the way between them. */
const shortestUnusedMilliseconds = 500;

/**
 * Returns for how long a connection that has become idle may be used again, in milliseconds; 0 or less if not at all.
 *
 * @param statedMilliseconds Idle timeout that the endpoint states; undefined if it states none.
 * @param defaultMilliseconds Time for a connection whose endpoint states none.
 * @example
 * ```ts
 * reusableIdleTime(5000, 4000); // 4000
 * ```
 */
export function reusableIdleTime(statedMilliseconds: number | undefined, defaultMilliseconds: number): number {
	return statedMilliseconds === undefined
		? defaultMilliseconds
		: statedMilliseconds - Math.max(shortestUnusedMilliseconds, statedMilliseconds * unusedShare);
}
