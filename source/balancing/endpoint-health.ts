/**
 * What this router has seen of each endpoint's failures.
 *
 * @module
 */

/**
 * How a request to an endpoint ended, as far as the endpoint is to blame: it did not answer at all, answered with a failure,
 * or said that it is full.
 */
export type EndpointFailure = 'unreachable' | 'broken' | 'failed' | 'full';

/** How strongly each failure counts, from 0 to 1. */
const weights: Record<EndpointFailure, number> = {
	unreachable: 1, broken: 0.5, failed: 0.25, full: 0.25,
};

/** Time for which an endpoint is left alone after each failure while others are there, in milliseconds. */
const avoidMilliseconds: Record<EndpointFailure, number> = {
	unreachable: 1000, broken: 300, failed: 0, full: 200,
};

/** Time in which a failure's weight falls by half, in milliseconds. */
const halfLifeMilliseconds = 4000;

/** Share that one request moves the rate of failures by. */
const requestShare = 0.3;

type Seen = {rate: number; at: number; avoidUntil: number};

/**
 * Remembers failures of endpoints for a few seconds.
 *
 * @example
 * ```ts
 * health.failed(endpoint.id, 'unreachable', now);
 * health.avoids(endpoint.id, now); // true
 * ```
 */
export class EndpointHealth {
	readonly #seen = new Map<string, Seen>();

	/** Records a request that ended well. */
	succeeded(id: string, now: number): void {
		const seen = this.#seen.get(id);
		if (!seen) {
			return;
		}

		const rate = this.failureRate(id, now) * (1 - requestShare);
		if (rate < 0.01) {
			this.#seen.delete(id);
		} else {
			this.#seen.set(id, {rate, at: now, avoidUntil: 0});
		}
	}

	/** Records a request that ended badly. */
	failed(id: string, failure: EndpointFailure, now: number): void {
		const before = this.failureRate(id, now);
		const rate = before + ((weights[failure] - before) * (weights[failure] > before ? requestShare : 0));
		const avoidUntil = Math.max(this.#seen.get(id)?.avoidUntil ?? 0, now + avoidMilliseconds[failure]);
		this.#seen.set(id, {rate: Math.max(before, rate), at: now, avoidUntil});
	}

	/** Share of recent requests that failed, falling with time. */
	failureRate(id: string, now: number): number {
		const seen = this.#seen.get(id);
		return seen ? seen.rate * (0.5 ** ((now - seen.at) / halfLifeMilliseconds)) : 0;
	}

	/** Whether an endpoint is left alone while others are there. */
	avoids(id: string, now: number): boolean {
		return (this.#seen.get(id)?.avoidUntil ?? 0) > now;
	}
}
