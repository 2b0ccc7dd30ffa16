/**
 * Counts events in a sliding window that is divided into buckets.
 *
 * @module
 */

/** Number of buckets in a window; counts are exact to one bucket. */
const bucketCount = 10;

/**
 * Counts the events of the last window. Since a bucket is counted as a whole, it returns an upper and a lower bound of the true number.
 *
 * @example
 * ```ts
 * const counter = new SlidingWindowCounter(10_000);
 * counter.add(now);
 * counter.upperBound(now); // 1
 * ```
 */
export class SlidingWindowCounter {
	readonly #bucketMilliseconds: number;
	/** Number of events by bucket; a bucket is identified by its index since time 0. */
	readonly #buckets = new Map<number, number>();

	/** @param windowMilliseconds Length of the window, in milliseconds. */
	constructor(windowMilliseconds: number) {
		this.#bucketMilliseconds = windowMilliseconds / bucketCount;
	}

	add(now: number): void {
		const bucket = this.#bucketOf(now);
		this.#buckets.set(bucket, (this.#buckets.get(bucket) ?? 0) + 1);
	}

	/** Returns an upper bound: the events of the whole window, and possibly some that are older by less than a bucket. */
	upperBound(now: number): number {
		return this.#sum(this.#bucketOf(now) - bucketCount);
	}

	/** Returns a lower bound: the events of the window without its oldest bucket, which may lie partly outside. */
	lowerBound(now: number): number {
		return this.#sum(this.#bucketOf(now) - bucketCount + 1);
	}

	#bucketOf(now: number): number {
		return Math.floor(now / this.#bucketMilliseconds);
	}

	#sum(first: number): number {
		let sum = 0;
		for (const [bucket, events] of this.#buckets) {
			if (bucket < first - 1) {
				this.#buckets.delete(bucket);
			} else if (bucket >= first) {
				sum += events;
			}
		}

		return sum;
	}
}
