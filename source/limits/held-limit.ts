/**
 * A limited endpoint whose permits this gateway grants.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {leaseMilliseconds} from './limit-lease-table.ts';
import {PermitBucket, type PermitDecision} from './permit-bucket.ts';
import {type LimitObservation} from './permit-message.ts';

/** Time after the last request for a permit for which the lease is renewed, in milliseconds. */
const idleMilliseconds = 30_000;

/** Effect of a reported change of the limit. */
export type ChangeEffect = 'none' | 'changed' | 'lifted';

/** Options of {@linkcode HeldLimit}. */
export type HeldLimitOptions = {
	requestsPerSecond: number;
	/** Reading before the lease was requested; the lease is valid for its duration from then on. */
	since: ClockReading;
	/** Time of the last response that named the limit, as far as this gateway knows. */
	namedAt: number;
	now: ClockReading;
};

/**
 * Grants permits while the lease is valid. After a suspension it is not, since another gateway may have it.
 *
 * @example
 * ```ts
 * if (held.isValid(now)) held.take(importance, now);
 * ```
 */
export class HeldLimit {
	/** Whether the limit has changed since it was published. */
	isChanged = false;
	readonly #bucket: PermitBucket;
	#since: ClockReading;
	/** Monotonic time of the newest response that named the limit, in milliseconds. */
	#namedAt: number;
	#lastRequestAt: number;

	constructor({requestsPerSecond, since, namedAt, now}: HeldLimitOptions) {
		this.#bucket = new PermitBucket(requestsPerSecond, now.steady);
		this.#since = since;
		this.#namedAt = namedAt;
		this.#lastRequestAt = now.steady;
	}

	/** The limit, in requests per second. */
	get requestsPerSecond(): number {
		return this.#bucket.requestsPerSecond;
	}

	/** Returns the number of permits that can be granted now. */
	permits(now: ClockReading): number {
		return this.#bucket.permits(now.steady);
	}

	/** Whether the lease is valid. */
	isValid(now: ClockReading): boolean {
		return ageOf(this.#since, now) < leaseMilliseconds;
	}

	/** Whether the lease should be renewed: it is still used, and the given part of its time has passed. */
	isRenewalDue(now: ClockReading, afterMilliseconds: number): boolean {
		return ageOf(this.#since, now) >= afterMilliseconds && now.steady - this.#lastRequestAt < idleMilliseconds;
	}

	/** Records a renewal of the lease. */
	renew(since: ClockReading): void {
		this.#since = since;
	}

	/** Takes a permit if there is one. */
	take(importance: number, now: ClockReading): PermitDecision {
		this.#lastRequestAt = now.steady;
		return this.#bucket.take(importance, now.steady);
	}

	/** Applies a change that this or another gateway has seen; one that is older than what is known is ignored. */
	applyChange({requestsPerSecond, ageMilliseconds}: LimitObservation, now: ClockReading): ChangeEffect {
		const at = now.steady - ageMilliseconds;
		if (at <= this.#namedAt) {
			return 'none';
		}

		if (requestsPerSecond === undefined) {
			return 'lifted';
		}

		this.#namedAt = at;
		if (requestsPerSecond === this.#bucket.requestsPerSecond) {
			return 'none';
		}

		this.#bucket.changeLimit(requestsPerSecond, now.steady);
		this.isChanged = true;
		return 'changed';
	}
}
