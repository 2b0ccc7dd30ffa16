/**
 * The subset of engines that is asked about its load for one prompt: small at first, larger when it is full or does not respond.
 *
 * The order of engines for a prompt is the same at every gateway, so that a request that returns at another gateway asks the engines that may
 * hold its prompt. A subset of each gateway's own would hide them.
 *
 * @module
 */

/**
 * Engines that are asked first. With three, all have a prompt to read in one of 40 choices while each is busy with one for 0.3 of its time
 * (0.3 ** 3), and one remains to hold a copy when another fails.
 */
const firstEngines = 3;

/**
 * Divides candidates into the groups that are asked one after the other, until one has an engine that can start at once.
 *
 * @param candidates Engines, most preferred first.
 * @example
 * ```ts
 * for (const engines of querySteps(candidates)) {
 * 	// Ask these; stop if one can start at once.
 * }
 * ```
 */
export function querySteps<Engine>(candidates: readonly Engine[]): Engine[][] {
	const first = candidates.slice(0, firstEngines);
	const others = candidates.slice(firstEngines);
	return [first, others].filter(engines => engines.length > 0);
}
