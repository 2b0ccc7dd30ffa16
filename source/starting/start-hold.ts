/**
 * Holds requests that arrive before a gateway has its initial state.
 *
 * After a loss of all gateways there is no other one to turn to, and callers retry only once, so a refused connection loses the request.
 *
 * @module
 */
import {settleInTime} from '../supervision/settle-in-time.ts';

/** Bounds of the requests that are held together. */
export type StartHoldLimits = {
	requests: number;
	/** Bytes of their heads and of the part of their bodies that has been read from the network. */
	bytes: number;
	/** Time from the first moment at which requests can be held until none is held any more, in milliseconds. */
	milliseconds: number;
};

/** Largest share of its time that a request is held; the rest is left for its endpoint, or for the caller's retry. */
const heldShare = 0.5;

/** Bounds of the time after which a refused caller should return, in milliseconds. */
const retryAfterBounds = {shortest: 100, longest: 1000};

/** Options of {@linkcode StartHold}. */
export type StartHoldOptions = {
	limits: StartHoldLimits;
	/** Returns monotonic time, in milliseconds; 0 is the start of the process. */
	clock: () => number;
};

/** A request that arrives. */
export type ArrivingRequest = {
	/** Monotonic time of its arrival, in milliseconds. */
	arrivedAt: number;
	/** Time that its caller waits, in milliseconds; `undefined` if the caller does not say so. */
	deadlineMilliseconds: number | undefined;
	/** Bytes that are kept for it while it is held. */
	bytes: number;
};

/** Requests that are held at a moment. */
export type HeldRequests = {count: number; bytes: number; since: number};

/** What to do with a request that arrives before the initial state is known: hold it until a monotonic time, or refuse it. */
export type HoldDecision = {kind: 'hold'; until: number} | {kind: 'refuse'; reason: 'full' | 'over'};

/**
 * Decides whether a request that arrives before the initial state is known is held.
 *
 * @param request The request.
 * @param held Requests that are held already.
 * @param limits Bounds of all held requests.
 * @example
 * ```ts
 * decideHold({arrivedAt: 900, deadlineMilliseconds: 600, bytes: 800}, {count: 3, bytes: 2400, since: 250}, limits); // held until 1200
 * ```
 */
export function decideHold({arrivedAt, deadlineMilliseconds = Number.POSITIVE_INFINITY, bytes}: ArrivingRequest, held: HeldRequests, limits: StartHoldLimits): HoldDecision {
	const end = held.since + limits.milliseconds;
	if (arrivedAt >= end) {
		return {kind: 'refuse', reason: 'over'};
	}

	if (held.count >= limits.requests || held.bytes + bytes > limits.bytes) {
		return {kind: 'refuse', reason: 'full'};
	}

	return {kind: 'hold', until: Math.min(end, arrivedAt + (deadlineMilliseconds * heldShare))};
}

/**
 * Returns the time after which a caller that was refused during a start should return, in milliseconds: nobody knows how long the start
 * takes, so it is expected to take as long again as it has taken so far. Spread, so that those who were refused do not return together.
 *
 * @param elapsedMilliseconds Time since the start of the process.
 * @param random Number from 0 to below 1.
 */
export function retryAfterStart(elapsedMilliseconds: number, random: number): number {
	const {shortest, longest} = retryAfterBounds;
	return Math.min(longest, Math.max(shortest, elapsedMilliseconds)) * (1 + random);
}

/** What became of a request: not held since the state was known, released, refused, held until its time was over, or left by its caller. */
export type HoldOutcome = 'not-needed' | 'released' | 'full' | 'over' | 'timeout' | 'disconnected';

/**
 * Holds requests until the initial state is known.
 *
 * @example
 * ```ts
 * const outcome = await hold.wait({arrivedAt, deadlineMilliseconds, bytes}, callerDisconnected);
 * ```
 */
export class StartHold {
	readonly #limits: StartHoldLimits;
	readonly #clock: () => number;
	readonly #since: number;
	readonly #started: Promise<void>;
	#resolveStarted: (() => void) | undefined;
	#isStarted = false;
	#count = 0;
	#bytes = 0;
	#mostHeld = 0;

	constructor({limits, clock}: StartHoldOptions) {
		this.#limits = limits;
		this.#clock = clock;
		this.#since = clock();
		this.#started = new Promise(resolve => {
			this.#resolveStarted = resolve;
		});
	}

	/** Number of requests that are held now. */
	get held(): number {
		return this.#count;
	}

	/** Largest number of requests that were held at a time. */
	get mostHeld(): number {
		return this.#mostHeld;
	}

	/** Releases all requests; later ones are not held. */
	release(): void {
		this.#isStarted = true;
		this.#resolveStarted?.();
	}

	/**
	 * Waits until the initial state is known, or until a time.
	 *
	 * @param until Monotonic time, in milliseconds.
	 */
	async settle(until: number): Promise<void> {
		await settleInTime(this.#started, {until, signal: new AbortController().signal, clock: this.#clock});
	}

	/**
	 * Waits until the initial state is known, if the request can be held for so long.
	 *
	 * @param request The request.
	 * @param signal Ends the wait when the caller disconnects.
	 */
	async wait(request: ArrivingRequest, signal: AbortSignal): Promise<HoldOutcome> {
		if (this.#isStarted) {
			return 'not-needed';
		}

		const decision = decideHold(request, {count: this.#count, bytes: this.#bytes, since: this.#since}, this.#limits);
		if (decision.kind === 'refuse') {
			return decision.reason;
		}

		this.#count += 1;
		this.#bytes += request.bytes;
		this.#mostHeld = Math.max(this.#mostHeld, this.#count);
		const result = await settleInTime(this.#started, {until: decision.until, signal, clock: this.#clock});
		this.#count -= 1;
		this.#bytes -= request.bytes;
		return result.match(() => 'released', end => end === 'aborted' ? 'disconnected' : 'timeout');
	}
}
