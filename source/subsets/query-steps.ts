/**
 * The subset of engines that is asked about its load for one prompt: small at first, larger when it is full or does not respond.
 *
 * The order of engines for a prompt is the same at every gateway, so that a request that returns at another gateway asks the engines that may
 * hold its prompt. A subset of each gateway's own would hide them.
 *
 * @module
 */

/** Engines that are asked first; one remains to hold a copy when another fails. */
const firstEngines = 3;

/**
 * Divides candidates into the groups that are asked one after the other, until one has an idle engine.
 *
 * @param candidates Engines, most preferred first.
 * @example
 * ```ts
 * for (const engines of querySteps(candidates)) {
 * 	// Ask these; stop if one is idle.
 * }
 * ```
 */
export function querySteps<Engine>(candidates: readonly Engine[]): Engine[][] {
	const first = candidates.slice(0, firstEngines);
	const others = candidates.slice(firstEngines);
	return [first, others].filter(engines => engines.length > 0);
}
