/**
 * Decides which waiting retry is served first while retries are scarce.
 *
 * @module
 */

/** What a decision on the order of retries depends on. */
export type RetryClaim = {
	/** Whether the caller has received a part of the response, which is lost without the retry. */
	hasBegun: boolean;
	/** Importance of the request, 0 is the highest. */
	importance: number;
	/** Steady time by which the caller needs the response, in milliseconds. */
	deadline: number;
};

/**
 * Compares two waiting retries: a response that has begun comes before others, then the more important request, then the nearer deadline.
 *
 * Load: many streams lose their engines at the same moment and fewer retries than streams can be borrowed.
 *
 * @returns A negative number if the left one is served first.
 */
export function compareClaims(left: RetryClaim, right: RetryClaim): number {
	return Number(right.hasBegun) - Number(left.hasBegun)
		|| left.importance - right.importance
		|| left.deadline - right.deadline;
}
