/**
 * Retries that the requests of a gateway allow, each usable once and for a limited time.
 *
 * @module
 */

/** Number of buckets in a window; credits of one bucket expire together. */
const bucketCount = 10;

/** Number of buckets whose credits may be used. The rest of the window covers the time that a retry takes to reach its endpoint. */
const usableBucketCount = bucketCount - 1;

/** Number of credits for one retry. Credits are whole numbers, so that sums are exact. */
export const creditsPerRetry = 1000;

/**
 * Holds the credits that requests add. A credit is used within a window of its request, either for a retry of this gateway or by lending
 * it to another one.
 *
 * @example
 * ```ts
 * const credits = new RetryCredits(10_000);
 * credits.add(400, now);
 * credits.take(400, now); // 400
 * ```
 */
export class RetryCredits {
	readonly #bucketMilliseconds: number;
	/** Unused credits by bucket, oldest first; a bucket is identified by its index since time 0. */
	readonly #buckets = new Map<number, number>();

	/** @param windowMilliseconds Time after which a credit must not be used any more, in milliseconds. */
	constructor(windowMilliseconds: number) {
		this.#bucketMilliseconds = windowMilliseconds / bucketCount;
	}

	/** Adds credits of a request. */
	add(credits: number, now: number): void {
		const bucket = this.#bucketOf(now);
		this.#buckets.set(bucket, (this.#buckets.get(bucket) ?? 0) + credits);
	}

	/**
	 * Returns the number of unused credits.
	 *
	 * @param now Steady time, in milliseconds.
	 * @param usableMilliseconds Counts only credits that may still be used after this time. Default 0.
	 */
	available(now: number, usableMilliseconds = 0): number {
		return this.#usableBuckets(now, usableMilliseconds).reduce((sum, [, credits]) => sum + credits, 0);
	}

	/**
	 * Takes credits, those that expire first before others.
	 *
	 * @param wanted Maximum number of credits.
	 * @param now Steady time, in milliseconds.
	 * @param usableMilliseconds Takes only credits that may still be used after this time. Default 0.
	 * @returns Number of credits taken.
	 */
	take(wanted: number, now: number, usableMilliseconds = 0): number {
		let missing = wanted;
		for (const [bucket, credits] of this.#usableBuckets(now, usableMilliseconds)) {
			const taken = Math.min(credits, missing);
			this.#buckets.set(bucket, credits - taken);
			missing -= taken;
		}

		return wanted - missing;
	}

	/** Removes all credits. */
	clear(): void {
		this.#buckets.clear();
	}

	#usableBuckets(now: number, usableMilliseconds: number): Array<[bucket: number, credits: number]> {
		const expired = this.#bucketOf(now) - usableBucketCount;
		for (const bucket of this.#buckets.keys()) {
			if (bucket <= expired) {
				this.#buckets.delete(bucket);
			}
		}

		const first = this.#bucketOf(now + usableMilliseconds) - usableBucketCount + 1;
		return [...this.#buckets].filter(([bucket]) => bucket >= first);
	}

	#bucketOf(now: number): number {
		return Math.floor(now / this.#bucketMilliseconds);
	}
}
