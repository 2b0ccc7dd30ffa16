/**
 * Grants permits at the rate that an endpoint accepts.
 *
 * Designed for endpoints that accept a few requests per second from hundreds of gateways together, with far more requests waiting.
 *
 * @module
 */

/** Decision on a permit. */
export type PermitDecision = {
	granted: boolean;
	/** Time until another permit for the same importance can be granted, in milliseconds; 0 if granted. */
	availableInMilliseconds: number;
	/** Time after which a caller that is rejected may retry, behind those rejected before it, in milliseconds; 0 if granted. */
	returnInMilliseconds: number;
};

/** Time for which unused permits accumulate, in seconds. */
const burstSeconds = 0.25;

/** Minimum number of permits that accumulate. */
const minimumCapacity = 2;

/** Permits that must remain for more important requests, for each step of importance. */
const reservePerStep = 0.25;

/** Maximum number of permits that remain for more important requests. */
const maximumReserve = 1;

/** Maximum time after which a rejected caller is asked to return, in milliseconds. */
const maximumReturnMilliseconds = 4000;

/**
 * A token bucket. It starts empty, since permits of an earlier holder may still be in use.
 *
 * The less important a request is, the more permits must be left: while important requests use up the rate, others get nothing, and without
 * important ones they get the whole rate.
 *
 * @example
 * ```ts
 * const bucket = new PermitBucket(1.5, now);
 * bucket.take(0, now + 700).granted; // true
 * ```
 */
export class PermitBucket {
	#requestsPerSecond: number;
	#permits = 0;
	#filledAt: number;
	/** Monotonic time up to which the rate is taken by rejected callers that will return, in milliseconds. */
	#returnsUntil: number;

	/**
	 * Creates an empty bucket.
	 *
	 * @param requestsPerSecond The limit.
	 * @param now Monotonic time, in milliseconds.
	 */
	constructor(requestsPerSecond: number, now: number) {
		this.#requestsPerSecond = requestsPerSecond;
		this.#filledAt = now;
		this.#returnsUntil = now;
	}

	/** The limit, in requests per second. */
	get requestsPerSecond(): number {
		return this.#requestsPerSecond;
	}

	/** Returns the number of permits that can be granted now. */
	permits(now: number): number {
		this.#fill(now);
		return this.#permits;
	}

	/** Changes the limit; permits that accumulated under the old one are cut to what the new one allows. */
	changeLimit(requestsPerSecond: number, now: number): void {
		this.#fill(now);
		this.#requestsPerSecond = requestsPerSecond;
		this.#permits = Math.min(this.#permits, this.#capacity);
		this.#returnsUntil = now;
	}

	/**
	 * Takes a permit if there is one.
	 *
	 * @param importance Importance of the request; 0 is the highest.
	 * @param now Monotonic time, in milliseconds.
	 */
	take(importance: number, now: number): PermitDecision {
		this.#fill(now);
		const missing = 1 + Math.min(maximumReserve, importance * reservePerStep) - this.#permits;
		if (missing <= 0) {
			this.#permits -= 1;
			return {granted: true, availableInMilliseconds: 0, returnInMilliseconds: 0};
		}

		const availableInMilliseconds = missing / this.#requestsPerSecond * 1000;
		return {granted: false, availableInMilliseconds, returnInMilliseconds: this.#planReturn(now + availableInMilliseconds) - now};
	}

	get #capacity(): number {
		return Math.max(minimumCapacity, this.#requestsPerSecond * burstSeconds);
	}

	#fill(now: number): void {
		const seconds = Math.max(0, now - this.#filledAt) / 1000;
		this.#permits = Math.min(this.#capacity, this.#permits + (seconds * this.#requestsPerSecond));
		this.#filledAt = Math.max(this.#filledAt, now);
	}

	/** Returns the time at which a rejected caller should return: when the rate has served those rejected before it. */
	#planReturn(earliest: number): number {
		const at = Math.max(earliest, this.#returnsUntil);
		const latest = earliest + maximumReturnMilliseconds;
		this.#returnsUntil = Math.min(at + (1000 / this.#requestsPerSecond), latest);
		return Math.min(at, latest);
	}
}
