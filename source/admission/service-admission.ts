/**
 * Admission to one service at one router: the fair queue, the tokens in progress and the refusal of requests that cannot start in time.
 *
 * @module
 */
import {type Refusal} from '../answers/mod.ts';
import {FairQueue, type QueuedItem} from './fair-queue.ts';
import {HoldTime} from './hold-time.ts';

/** A request to be admitted to a service. */
export type QueuedRequest = QueuedItem & {
	/** Wall-clock time by which the request must start or be refused, in milliseconds. */
	waitDeadline: number;
	/** Called when the request is admitted. */
	admit: () => void;
	/** Called when the request is refused without having run. */
	refuse: (refusal: Refusal) => void;
};

/** Options of {@linkcode ServiceAdmission}. */
export type ServiceAdmissionOptions = {
	service: string;
	/** Maximum number of queued requests. */
	queuedRequests: number;
	/** Returns the maximum number of tokens in progress. */
	capacity: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

/** Factor by which the predicted wait of a queued request must exceed its remaining time before the request is refused early. */
const queuedWaitTolerance = 1.25;

/** Time without any capacity during which requests are still queued, in milliseconds. */
const noCapacityToleranceMilliseconds = 3000;

/** Bounds of the Retry-After value of a refusal, in seconds. */
const retryAfterSeconds = {minimum: 1, maximum: 30};

/** Admits requests in fair order while capacity is available, and refuses those that cannot start in time as soon as this is known. */
export class ServiceAdmission {
	readonly #options: ServiceAdmissionOptions;
	readonly #queue: FairQueue<QueuedRequest>;
	readonly #holdTime = new HoldTime();
	#tokensInProgress = 0;
	/** Sum of tokens times start time over the admitted requests, used to compute their mean age. */
	#startedTokenTime = 0;
	#withoutCapacitySince: number | undefined;
	/** Tokens of refused requests that callers are expected to retry, less what has drained since, and the time of the last change. */
	#deferred = {tokens: 0, at: 0};

	constructor(options: ServiceAdmissionOptions) {
		this.#options = options;
		this.#queue = new FairQueue({capacity: options.queuedRequests});
	}

	/** Number of queued requests. */
	get waiting(): number {
		return this.#queue.size;
	}

	/** Number of tokens of admitted requests. */
	get tokensInProgress(): number {
		return this.#tokensInProgress;
	}

	/**
	 * Admits, queues or refuses a request.
	 *
	 * @param request The request.
	 * @param now Wall-clock time, in milliseconds.
	 */
	submit(request: QueuedRequest, now: number): void {
		this.#observeCapacity(now);
		const tokensAhead = this.#queue.tokensAhead(request.flow, request.weight, this.#queue.backlogOf(request.flow));
		const wait = this.#predictedWait(tokensAhead + request.tokens, now);
		if (wait > request.waitDeadline - now) {
			request.refuse(this.#refusal(wait - (request.waitDeadline - now), request.tokens, now));
			return;
		}

		const dropped = this.#queue.push(request);
		if (dropped) {
			dropped.refuse(this.#refusal(wait, dropped.tokens, now));
		}

		this.admitQueued(now);
	}

	/** Counts work that has started already and continues, even beyond the capacity; new requests wait until there is capacity. */
	resume(tokens: number, now: number): void {
		this.#tokensInProgress += tokens;
		this.#startedTokenTime += tokens * now;
	}

	/** Admits queued requests as long as they fit. */
	admitQueued(now: number): void {
		const capacity = this.#observeCapacity(now);
		for (let next = this.#queue.peek(); next && this.#fits(next, capacity); next = this.#queue.peek()) {
			this.#queue.shift();
			this.#tokensInProgress += next.tokens;
			this.#startedTokenTime += next.tokens * now;
			next.admit();
		}
	}

	/** Refuses queued requests whose deadline has passed or whose predicted wait exceeds it. */
	sweep(now: number): void {
		this.admitQueued(now);
		for (const request of this.#queue.items()) {
			if (now >= request.waitDeadline) {
				this.#queue.remove(request);
				request.refuse(this.#refusal(this.#predictedWait(this.#queue.queuedTokens, now), request.tokens, now));
			}
		}

		for (let late = this.#lateTails(now); late.length > 0; late = this.#lateTails(now)) {
			for (const request of late) {
				const wait = this.#predictedWaitOfTail(request, now);
				this.#queue.remove(request);
				request.refuse(this.#refusal(wait - (request.waitDeadline - now), request.tokens, now));
			}
		}
	}

	/** Removes a request whose caller disconnected; returns whether it was still queued. */
	cancel(request: QueuedRequest): boolean {
		return this.#queue.remove(request);
	}

	/** Releases the tokens of a request that has ended. */
	release(tokens: number, startedAt: number, now: number): void {
		this.#tokensInProgress -= tokens;
		this.#startedTokenTime -= tokens * startedAt;
		this.#holdTime.record(now - startedAt);
		this.admitQueued(now);
	}

	/** Returns the last queued request of each workspace if it is predicted not to start in time; the requests before it still may. */
	#lateTails(now: number): QueuedRequest[] {
		return this.#queue.tails().filter(request => this.#predictedWaitOfTail(request, now) > queuedWaitTolerance * (request.waitDeadline - now));
	}

	#predictedWaitOfTail(request: QueuedRequest, now: number): number {
		const ownTokens = this.#queue.backlogOf(request.flow) - request.tokens;
		return this.#predictedWait(this.#queue.tokensAhead(request.flow, request.weight, ownTokens) + request.tokens, now);
	}

	#fits(request: QueuedRequest, capacity: number): boolean {
		return capacity > 0 && (this.#tokensInProgress === 0 || this.#tokensInProgress + request.tokens <= capacity);
	}

	/** Returns the predicted time until a number of tokens fits into the capacity, in milliseconds. */
	#predictedWait(tokens: number, now: number): number {
		const capacity = this.#options.capacity();
		const excessTokens = Math.min(tokens, tokens + this.#tokensInProgress - capacity);
		if (capacity <= 0) {
			const since = this.#withoutCapacitySince ?? now;
			return now - since > noCapacityToleranceMilliseconds ? Number.POSITIVE_INFINITY : 0;
		}

		if (excessTokens <= 0 || this.#tokensInProgress === 0) {
			return 0;
		}

		const meanAge = now - (this.#startedTokenTime / this.#tokensInProgress);
		return excessTokens / this.#holdTime.drainRate(capacity, meanAge) * 1000;
	}

	#observeCapacity(now: number): number {
		const capacity = this.#options.capacity();
		if (capacity > 0) {
			this.#withoutCapacitySince = undefined;
		} else {
			this.#withoutCapacitySince ??= now;
		}

		return capacity;
	}

	/** Returns the predicted time until the expected retries of refused requests, this one included, are served, in milliseconds. */
	#predictedDeferredWait(tokens: number, now: number): number {
		const capacity = this.#options.capacity();
		const meanAge = this.#tokensInProgress > 0 ? now - (this.#startedTokenTime / this.#tokensInProgress) : 0;
		const rate = this.#holdTime.drainRate(capacity, meanAge);
		if (rate === 0 || !Number.isFinite(rate)) {
			return 0;
		}

		const drained = rate * (now - this.#deferred.at) / 1000;
		this.#deferred = {tokens: Math.max(0, this.#deferred.tokens - drained) + tokens, at: now};
		return this.#deferred.tokens / rate * 1000;
	}

	#refusal(excessMilliseconds: number, tokens: number, now: number): Refusal {
		const jitter = 1 + (this.#options.random() / 2);
		const milliseconds = excessMilliseconds + this.#predictedDeferredWait(tokens, now);
		const seconds = Math.min(Math.max(milliseconds / 1000, retryAfterSeconds.minimum) * jitter, retryAfterSeconds.maximum);
		const isWithoutCapacity = this.#withoutCapacitySince !== undefined;
		return {
			status: 503,
			code: isWithoutCapacity ? 'no_endpoint' : 'overloaded',
			message: isWithoutCapacity
				? `No endpoint of "${this.#options.service}" answers now.`
				: `"${this.#options.service}" cannot start the request in time.`,
			run: 'no',
			retryAfterSeconds: isWithoutCapacity ? retryAfterSeconds.minimum * 5 * jitter : seconds,
		};
	}
}
