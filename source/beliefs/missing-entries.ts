/**
 * Decides when a gateway that has fewer entries than the gateway it follows requests the whole list.
 *
 * Gateways send each other the entries whose content changed. One that polled the store before an entry was removed and after it was
 * written again saw no change, so a gateway that saw the removal and follows that one lacks the entry.
 *
 * @module
 */

/** Options of {@linkcode MissingEntries}. */
export type MissingEntriesOptions = {
	/** Returns a number from 0 up to 1. */
	random: () => number;
};

/** Numbers of entries after an update; undefined if entries are about to change, or from a gateway of an earlier build. */
export type EntryCounts = {own: number | undefined; source: number | undefined};

/** Longest random delay of a request, so that gateways that lack the same entry do not all request the list at once, in milliseconds. */
const maximumDelayMilliseconds = 1000;

/** Shortest interval between two requests, in milliseconds; it doubles with each request that brought no entry. */
const shortestIntervalMilliseconds = 10_000;

/** Longest interval between two requests, in milliseconds. */
const longestIntervalMilliseconds = 1_200_000;

/**
 * Compares the numbers of entries of two gateways. Lists that differ for good cost ever fewer requests.
 *
 * @example
 * ```ts
 * missing.compare({own: endpoints.settledSize(now), source: update.endpointCount}, now);
 * const known = missing.shouldRequestAll(now) ? {...revisions, era: 0, endpointRevision: 0} : revisions;
 * ```
 */
export class MissingEntries {
	readonly #random: () => number;
	/** Steady time from which the list may be requested; undefined if no entry is known to be missing. */
	#requestFrom: number | undefined;
	/** Own number of entries when the list was requested; undefined if no response to a request is awaited. */
	#countAtRequest: number | undefined;
	#lastCount = 0;
	#notBefore = Number.NEGATIVE_INFINITY;
	#intervalMilliseconds = shortestIntervalMilliseconds;

	constructor({random}: MissingEntriesOptions) {
		this.#random = random;
	}

	/**
	 * Compares the numbers of entries after an update of the same revision was applied.
	 *
	 * @param counts Numbers of entries of both gateways.
	 * @param now Steady time, in milliseconds.
	 */
	compare({own, source}: EntryCounts, now: number): void {
		if (own === undefined || source === undefined) {
			return;
		}

		if (this.#countAtRequest !== undefined && own > this.#countAtRequest) {
			this.#intervalMilliseconds = shortestIntervalMilliseconds;
		}

		this.#countAtRequest = undefined;
		this.#lastCount = own;
		this.#requestFrom = own < source
			? this.#requestFrom ?? Math.max(this.#notBefore, now + (this.#random() * maximumDelayMilliseconds))
			: undefined;
	}

	/**
	 * Returns whether the next request to the followed gateway asks for the whole list.
	 *
	 * @param now Steady time, in milliseconds.
	 */
	shouldRequestAll(now: number): boolean {
		if (this.#requestFrom === undefined || now < this.#requestFrom) {
			return false;
		}

		this.#requestFrom = undefined;
		this.#countAtRequest = this.#lastCount;
		this.#notBefore = now + this.#intervalMilliseconds;
		this.#intervalMilliseconds = Math.min(longestIntervalMilliseconds, 2 * this.#intervalMilliseconds);
		return true;
	}
}
