/**
 * Endpoints that ask to back off for a while.
 *
 * Answers the load of an endpoint that turns requests away and says when it will take some again: whatever reaches it before costs it
 * time that it does not have.
 *
 * @module
 */
import {type EndpointIncarnation} from '../beliefs/mod.ts';

/**
 * Remembers until when each endpoint is sent nothing; a new life of it is not bound by what an earlier one asked.
 *
 * @example
 * ```ts
 * backoff.start(endpoint, now + 3000);
 * backoff.isBackedOff(endpoint, now); // true
 * ```
 */
export class EndpointBackoff {
	/** Steady times at which they end, in milliseconds, by name of the life. */
	readonly #ends = new Map<string, number>();

	/** Sends an endpoint nothing until a steady time, or longer where it asked for that before. */
	start(life: EndpointIncarnation, until: number): void {
		const name = nameOf(life);
		this.#ends.set(name, Math.max(until, this.#ends.get(name) ?? 0));
	}

	/** Whether an endpoint is sent nothing now. */
	isBackedOff(life: EndpointIncarnation, now: number): boolean {
		return this.#ends.size > 0 && this.#endOf(life, now) > now;
	}

	/**
	 * Divides endpoints into those that may be used and the time at which the first of the others may be.
	 *
	 * @param endpoints The endpoints.
	 * @param now Steady time, in milliseconds.
	 */
	divide<Endpoint extends EndpointIncarnation>(endpoints: readonly Endpoint[], now: number): {usable: readonly Endpoint[]; firstEnd: number | undefined} {
		if (this.#ends.size === 0) {
			return {usable: endpoints, firstEnd: undefined};
		}

		const ends = endpoints.map(endpoint => this.#endOf(endpoint, now)).filter(end => end > now);
		return {
			usable: ends.length === 0 ? endpoints : endpoints.filter(endpoint => !this.isBackedOff(endpoint, now)),
			firstEnd: ends.length === 0 ? undefined : Math.min(...ends),
		};
	}

	#endOf(life: EndpointIncarnation, now: number): number {
		const name = nameOf(life);
		const end = this.#ends.get(name) ?? 0;
		if (end <= now) {
			this.#ends.delete(name);
		}

		return end;
	}
}

function nameOf({id, startedAt}: EndpointIncarnation): string {
	return `${id}/${startedAt}`;
}
