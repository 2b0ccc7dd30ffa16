/**
 * How often the store and other gateways are asked, from the time within which news must have arrived.
 *
 * @module
 */

/** Times that together keep news within a bound, in milliseconds. */
export type NewsTimes = {
	/** Time between two questions to the store for which it may wait for a change. */
	storeMilliseconds: number;
	/** Pause after an answer with changes, so that changes of that time come in one answer. */
	gatherMilliseconds: number;
	/** Time between two questions to another gateway. */
	sourceMilliseconds: number;
	/** Age right after an answer of another gateway above which that one has fallen behind, and a further one is asked. */
	sourceIsBehindMilliseconds: number;
	/** Age above which a gateway that follows the store asks other gateways too. */
	sourceIsLateMilliseconds: number;
	/** Age above which a gateway asks the store itself. */
	readerIsLateMilliseconds: number;
};

/**
 * Divides the time within which news must have arrived. While all goes well, news is at most as old as one round at the store and
 * one between gateways; what is left lets a gateway notice that its source has fallen behind and ask the store in time.
 *
 * @param boundMilliseconds Time within which news must have arrived.
 * @example
 * ```ts
 * divideNewsTime(2000).storeMilliseconds; // 1000
 * ```
 */
export function divideNewsTime(boundMilliseconds: number): NewsTimes {
	return {
		storeMilliseconds: boundMilliseconds * 0.5,
		gatherMilliseconds: boundMilliseconds * 0.35,
		sourceMilliseconds: boundMilliseconds * 0.15,
		sourceIsBehindMilliseconds: boundMilliseconds * 0.6,
		sourceIsLateMilliseconds: boundMilliseconds * 0.7,
		readerIsLateMilliseconds: boundMilliseconds * 0.8,
	};
}
