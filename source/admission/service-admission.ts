/**
 * Admission to one service at one router: the fair queue, the tokens in progress and the answers to those who cannot start in time.
 *
 * @module
 */
import {type Refusal} from '../answers/mod.ts';
import {FairQueue, type QueuedItem} from './fair-queue.ts';
import {HoldTime} from './hold-time.ts';

/** A request that waits for its start. */
export type Waiting = QueuedItem & {
	/** Wall-clock time after which it must not wait any longer, in milliseconds. */
	limitAt: number;
	/** Starts the request. */
	admit: () => void;
	/** Answers the request without running it. */
	refuse: (refusal: Refusal) => void;
};

/** Options of {@linkcode ServiceAdmission}. */
export type ServiceAdmissionOptions = {
	service: string;
	/** Requests that wait at most. */
	queuedRequests: number;
	/** Returns the tokens that may be in progress. */
	capacity: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

/** Factor by which an estimate must exceed the time left before a request that already waits is answered. */
const waitingTolerance = 1.25;

/** Time without any capacity for which requests wait all the same, in milliseconds. */
const noCapacityMilliseconds = 3000;

/** Bounds of the time after which a refused caller may come back, in seconds. */
const retryAfterSeconds = {least: 1, most: 30};

/** Admits requests in fair order while tokens are left, and answers at once those that cannot start in time. */
export class ServiceAdmission {
	readonly #options: ServiceAdmissionOptions;
	readonly #queue: FairQueue<Waiting>;
	readonly #holdTime = new HoldTime();
	#tokensInProgress = 0;
	/** Sum of tokens times start time, from which the mean age follows. */
	#startedTokenTime = 0;
	#withoutCapacitySince: number | undefined;
	/** Tokens of refused requests whose callers have been told to come back, less what has drained since. */
	#deferred = {tokens: 0, at: 0};

	constructor(options: ServiceAdmissionOptions) {
		this.#options = options;
		this.#queue = new FairQueue({capacity: options.queuedRequests});
	}

	/** Requests that wait. */
	get waiting(): number {
		return this.#queue.size;
	}

	/** Tokens of admitted requests. */
	get tokensInProgress(): number {
		return this.#tokensInProgress;
	}

	/**
	 * Takes a request: it starts, waits or is refused.
	 *
	 * @param request The request.
	 * @param now Wall-clock time, in milliseconds.
	 */
	enter(request: Waiting, now: number): void {
		this.#noteCapacity(now);
		const ahead = this.#queue.tokensAhead(request.flow, request.weight, this.#queue.backlogOf(request.flow));
		const wait = this.#predictedWait(ahead + request.tokens, now);
		if (wait > request.limitAt - now) {
			request.refuse(this.#refusal(wait - (request.limitAt - now), request.tokens, now));
			return;
		}

		const dropped = this.#queue.push(request);
		if (dropped) {
			dropped.refuse(this.#refusal(wait, dropped.tokens, now));
		}

		this.pump(now);
	}

	/** Counts work that has started elsewhere and goes on here, whether or not there is room; new work waits until there is. */
	resume(tokens: number, now: number): void {
		this.#tokensInProgress += tokens;
		this.#startedTokenTime += tokens * now;
	}

	/** Starts as many requests as there is room for. */
	pump(now: number): void {
		const capacity = this.#noteCapacity(now);
		for (let next = this.#queue.peek(); next && this.#fits(next, capacity); next = this.#queue.peek()) {
			this.#queue.shift();
			this.#tokensInProgress += next.tokens;
			this.#startedTokenTime += next.tokens * now;
			next.admit();
		}
	}

	/** Answers every request whose time has passed or that is now known not to start in time. */
	sweep(now: number): void {
		this.pump(now);
		for (const request of this.#queue.items()) {
			if (now >= request.limitAt) {
				this.#queue.remove(request);
				request.refuse(this.#refusal(this.#predictedWait(this.#queue.queuedTokens, now), request.tokens, now));
			}
		}

		for (let hopeless = this.#hopeless(now); hopeless.length > 0; hopeless = this.#hopeless(now)) {
			for (const request of hopeless) {
				const wait = this.#waitOfLast(request, now);
				this.#queue.remove(request);
				request.refuse(this.#refusal(wait - (request.limitAt - now), request.tokens, now));
			}
		}
	}

	/** Forgets a request whose caller has gone; returns whether it still waited. */
	leave(request: Waiting): boolean {
		return this.#queue.remove(request);
	}

	/** Gives back the tokens of a request that has ended. */
	release(tokens: number, startedAt: number, now: number): void {
		this.#tokensInProgress -= tokens;
		this.#startedTokenTime -= tokens * startedAt;
		this.#holdTime.released(now - startedAt);
		this.pump(now);
	}

	/** The last requests of their workspaces that will not start in time; those before them may. */
	#hopeless(now: number): Waiting[] {
		return this.#queue.tails().filter(request => this.#waitOfLast(request, now) > waitingTolerance * (request.limitAt - now));
	}

	#waitOfLast(request: Waiting, now: number): number {
		const own = this.#queue.backlogOf(request.flow) - request.tokens;
		return this.#predictedWait(this.#queue.tokensAhead(request.flow, request.weight, own) + request.tokens, now);
	}

	#fits(request: Waiting, capacity: number): boolean {
		return capacity > 0 && (this.#tokensInProgress === 0 || this.#tokensInProgress + request.tokens <= capacity);
	}

	/** Time until a number of tokens has room, in milliseconds. */
	#predictedWait(tokens: number, now: number): number {
		const capacity = this.#options.capacity();
		const missing = Math.min(tokens, tokens + this.#tokensInProgress - capacity);
		if (capacity <= 0) {
			const since = this.#withoutCapacitySince ?? now;
			return now - since > noCapacityMilliseconds ? Number.POSITIVE_INFINITY : 0;
		}

		if (missing <= 0 || this.#tokensInProgress === 0) {
			return 0;
		}

		const meanAge = now - (this.#startedTokenTime / this.#tokensInProgress);
		return missing / this.#holdTime.drainRate(capacity, meanAge) * 1000;
	}

	#noteCapacity(now: number): number {
		const capacity = this.#options.capacity();
		if (capacity > 0) {
			this.#withoutCapacitySince = undefined;
		} else {
			this.#withoutCapacitySince ??= now;
		}

		return capacity;
	}

	/** Time after which the callers told to come back, this one included, have been served, in milliseconds. */
	#deferredWait(tokens: number, now: number): number {
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

	#refusal(missingMilliseconds: number, tokens: number, now: number): Refusal {
		const jitter = 1 + (this.#options.random() / 2);
		const milliseconds = missingMilliseconds + this.#deferredWait(tokens, now);
		const seconds = Math.min(Math.max(milliseconds / 1000, retryAfterSeconds.least) * jitter, retryAfterSeconds.most);
		const empty = this.#withoutCapacitySince !== undefined;
		return {
			status: 503,
			code: empty ? 'no_endpoint' : 'overloaded',
			message: empty
				? `No endpoint of "${this.#options.service}" answers now.`
				: `"${this.#options.service}" cannot start the request in time.`,
			run: 'no',
			retryAfterSeconds: empty ? retryAfterSeconds.least * 5 * jitter : seconds,
		};
	}
}
