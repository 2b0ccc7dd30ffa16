/**
 * State of one limited endpoint at one gateway.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {type EndpointIncarnation} from '../registry/mod.ts';
import {isSameHolder, type PermitHolder} from './endpoint-limit.ts';
import {type HeldLimit} from './held-limit.ts';
import {permitLifetimeMilliseconds} from './permit-message.ts';
import {PermitQueue, type RequestPermit} from './permit-queue.ts';

/** A refusal that spares further requests for permits: for a time, and for requests that are no more important than the refused one. */
type Refusal = {until: number; importance: number; returnAt: number};

/** A change of the limit that this gateway has seen: the new limit, absent if it was lifted, and the monotonic time of it, in milliseconds. */
type SeenChange = {requestsPerSecond: number | undefined; seenAt: number};

/** Options of {@linkcode LimitedEndpoint}. */
export type LimitedEndpointOptions = {
	endpoint: EndpointIncarnation;
	requestsPerSecond: number;
	/** Monotonic time at which this gateway learned of the limit, in milliseconds. */
	namedAt: number;
	holder: PermitHolder | undefined;
	requestPermit: RequestPermit;
};

/**
 * What a gateway knows of a limited endpoint: its limit, who grants its permits, and until when there are none.
 *
 * @example
 * ```ts
 * limited.refuse({until: now + 200, importance: 1, returnAt: now + 700});
 * limited.isRefused(1, now); // true
 * ```
 */
export class LimitedEndpoint {
	readonly endpoint: EndpointIncarnation;
	/** Requests that wait for a permit. */
	readonly queue: PermitQueue;
	/** The limit, in requests per second. */
	requestsPerSecond: number;
	/** Monotonic time at which the last response named the limit, or at which this gateway learned of it, in milliseconds. */
	namedAt: number;
	/** Monotonic time at which a response to this gateway last named the limit, in milliseconds. */
	observedAt = Number.NEGATIVE_INFINITY;
	/** Gateway that grants the permits, as far as it is known. */
	holder: PermitHolder | undefined;
	/** Present if this gateway grants the permits. */
	held: HeldLimit | undefined;
	/** Whether a call to the store about the lease is in progress. */
	isAcquiring = false;
	/** Monotonic time before which the lease is not looked up in the store, in milliseconds. */
	lookupAt = Number.NEGATIVE_INFINITY;
	/** Number of consecutive failed calls to the store about the lease. */
	failures = 0;
	/** Last change of the limit that this gateway has seen, until the holder has confirmed that it knows it. */
	unreportedChange: SeenChange | undefined;
	/** Number of consecutive requests for a permit that no gateway which grants them has answered. */
	unanswered = 0;
	/** Reading before a permit was requested that nothing has used yet. */
	#latePermit: ClockReading | undefined;
	#refusal: Refusal = {until: Number.NEGATIVE_INFINITY, importance: 0, returnAt: Number.NEGATIVE_INFINITY};

	constructor({endpoint, requestsPerSecond, namedAt, holder, requestPermit}: LimitedEndpointOptions) {
		this.endpoint = {id: endpoint.id, startedAt: endpoint.startedAt};
		this.requestsPerSecond = requestsPerSecond;
		this.namedAt = namedAt;
		this.holder = holder;
		this.queue = new PermitQueue(requestPermit);
	}

	/** Monotonic time at which a rejected caller should return, in milliseconds. */
	get returnAt(): number {
		return this.#refusal.returnAt;
	}

	/** Records that no permit was granted. */
	refuse(refusal: Refusal): void {
		this.#refusal = refusal;
	}

	/** Forgets the last refusal, as permits can be requested again. */
	allow(): void {
		this.#refusal = {...this.#refusal, until: Number.NEGATIVE_INFINITY};
	}

	/** Keeps a permit for the next request, since the one for which it was requested has stopped waiting. */
	keepLatePermit(requestedAt: ClockReading): void {
		this.#latePermit = requestedAt;
	}

	/** Takes the permit that was kept; returns false if there is none that is still valid. */
	takeLatePermit(now: ClockReading): boolean {
		const requestedAt = this.#latePermit;
		this.#latePermit = undefined;
		return requestedAt !== undefined && ageOf(requestedAt, now) < permitLifetimeMilliseconds;
	}

	/** Records the gateway that grants the permits, and asks it at once if it is another one than before; returns whether it is. */
	follow(holder: PermitHolder): boolean {
		if (this.holder !== undefined && isSameHolder(this.holder, holder)) {
			return false;
		}

		this.holder = holder;
		this.unanswered = 0;
		this.allow();
		return true;
	}

	/** Whether it is known that a request of this importance gets no permit now. */
	isRefused(importance: number, now: number): boolean {
		return now < this.#refusal.until && importance >= this.#refusal.importance;
	}
}
