/**
 * Health of endpoints, by the failures that this gateway has seen.
 *
 * @module
 */

/**
 * Failure of a request that is attributed to the endpoint: it could not be reached, its response was incomplete or too large, it
 * responded with an error, or it was full.
 */
export type EndpointFailure = 'unreachable' | 'broken' | 'failed' | 'full';

/** Weight of each failure in the failure rate, from 0 to 1. */
const failureWeights: Record<EndpointFailure, number> = {
	unreachable: 1, broken: 0.5, failed: 0.25, full: 0.25,
};

/** Time for which an endpoint is avoided after each failure if there are others, in milliseconds. */
const avoidanceMilliseconds: Record<EndpointFailure, number> = {
	unreachable: 1000, broken: 300, failed: 0, full: 200,
};

/** Failure rate up to which an endpoint is sound: applications fail now and then by themselves. */
const soundFailureRate = 0.15;

/** Half-life of the failure rate, in milliseconds. */
const halfLifeMilliseconds = 4000;

/** Smoothing factor of the failure rate, which is an exponentially weighted moving average. */
const smoothingFactor = 0.3;

type HealthRecord = {rate: number; at: number; avoidUntil: number};

/**
 * Tracks the failure rates of endpoints, which decay within a few seconds.
 *
 * @example
 * ```ts
 * health.recordFailure(endpoint.id, 'unreachable', now);
 * health.shouldAvoid(endpoint.id, now); // true
 * ```
 */
export class EndpointHealth {
	readonly #records = new Map<string, HealthRecord>();
	/** When each endpoint was first overtaken since its last success. */
	readonly #overtakenAt = new Map<string, number>();

	/** Records a successful request. */
	recordSuccess(id: string, now: number): void {
		this.#overtakenAt.delete(id);
		const record = this.#records.get(id);
		if (!record) {
			return;
		}

		const rate = this.failureRate(id, now) * (1 - smoothingFactor);
		if (rate < 0.01) {
			this.#records.delete(id);
		} else {
			this.#records.set(id, {rate, at: now, avoidUntil: 0});
		}
	}

	/** Records a failed request. */
	recordFailure(id: string, failure: EndpointFailure, now: number): void {
		const before = this.failureRate(id, now);
		const rate = before + ((failureWeights[failure] - before) * (failureWeights[failure] > before ? smoothingFactor : 0));
		const avoidUntil = Math.max(this.#records.get(id)?.avoidUntil ?? 0, now + avoidanceMilliseconds[failure]);
		this.#records.set(id, {rate: Math.max(before, rate), at: now, avoidUntil});
	}

	/**
	 * Records a request that was aborted because one that was sent to another endpoint later was answered first. Once, this happens to sound
	 * endpoints as well; it is a failure if a request that was sent afterwards is overtaken too, without a success in between.
	 *
	 * @param id Id of the endpoint.
	 * @param times When the request was sent, and the present time, in milliseconds.
	 */
	recordOvertaken(id: string, {sentAt, now}: {sentAt: number; now: number}): void {
		const overtakenAt = this.#overtakenAt.get(id);
		if (overtakenAt === undefined) {
			this.#overtakenAt.set(id, now);
		} else if (sentAt > overtakenAt) {
			this.recordFailure(id, 'broken', now);
		}
	}

	/** Returns the weighted failure rate of recent requests, which decays over time. */
	failureRate(id: string, now: number): number {
		const record = this.#records.get(id);
		return record ? record.rate * (0.5 ** ((now - record.at) / halfLifeMilliseconds)) : 0;
	}

	/** Whether an endpoint is neither avoided nor fails often. */
	isSound(id: string, now: number): boolean {
		return !this.shouldAvoid(id, now) && this.failureRate(id, now) <= soundFailureRate;
	}

	/** Whether an endpoint should be avoided if there are others. */
	shouldAvoid(id: string, now: number): boolean {
		return (this.#records.get(id)?.avoidUntil ?? 0) > now;
	}
}
