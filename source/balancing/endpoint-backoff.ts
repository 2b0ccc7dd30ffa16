/**
 * Backoff from endpoints that request it.
 *
 * An overloaded endpoint rejects requests and says when it will accept them again. Requests that reach it earlier only add to its load.
 *
 * @module
 */
import {incarnationKey, type EndpointIncarnation} from '../registry/mod.ts';

/**
 * Tracks until when no requests are sent to each endpoint. A backoff ends when the endpoint restarts, since it applies to one incarnation.
 *
 * @example
 * ```ts
 * backoff.start(endpoint, now + 3000);
 * backoff.isBackedOff(endpoint, now); // true
 * ```
 */
export class EndpointBackoff {
	/** Monotonic times at which the backoffs end, in milliseconds, by incarnation. */
	readonly #endTimes = new Map<string, number>();

	/** Starts a backoff until a monotonic time; does not shorten a current one. */
	start(incarnation: EndpointIncarnation, until: number): void {
		const key = incarnationKey(incarnation);
		this.#endTimes.set(key, Math.max(until, this.#endTimes.get(key) ?? 0));
	}

	/** Whether a backoff from the endpoint is in progress. */
	isBackedOff(incarnation: EndpointIncarnation, now: number): boolean {
		return this.#endTimes.size > 0 && this.#endOf(incarnation, now) > now;
	}

	/**
	 * Returns the endpoints without a backoff in progress, and the time at which the earliest backoff of the others ends.
	 *
	 * @param endpoints The endpoints.
	 * @param now Monotonic time, in milliseconds.
	 */
	partition<Endpoint extends EndpointIncarnation>(endpoints: readonly Endpoint[], now: number): {usable: readonly Endpoint[]; earliestEnd: number | undefined} {
		if (this.#endTimes.size === 0) {
			return {usable: endpoints, earliestEnd: undefined};
		}

		const ends = endpoints.map(endpoint => this.#endOf(endpoint, now)).filter(end => end > now);
		return {
			usable: ends.length === 0 ? endpoints : endpoints.filter(endpoint => !this.isBackedOff(endpoint, now)),
			earliestEnd: ends.length === 0 ? undefined : Math.min(...ends),
		};
	}

	#endOf(incarnation: EndpointIncarnation, now: number): number {
		const key = incarnationKey(incarnation);
		const end = this.#endTimes.get(key) ?? 0;
		if (end <= now) {
			this.#endTimes.delete(key);
		}

		return end;
	}
}
