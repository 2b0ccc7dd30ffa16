/**
 * Retries of a service that wait until they can be borrowed.
 *
 * @module
 */
import {type ClockReading} from '../clocks/mod.ts';
import {pause} from '../supervision/pause.ts';
import {compareClaims, type RetryClaim} from './retry-order.ts';

/** A request for a retry. */
export type RetryRequest = RetryClaim & {
	/** Whether it waits until its deadline; otherwise it is refused as soon as nothing can be borrowed. */
	waits: boolean;
	/** Aborts when the retry is not needed any more. */
	signal: AbortSignal | undefined;
};

/** Options of {@linkcode RetryQueue}. */
export type RetryQueueOptions = {
	/** Takes one retry from what this gateway holds, if there is enough for one. */
	takeHeld: (now: ClockReading) => boolean;
	/** Borrows for a number of waiting retries; returns whether anything was lent. */
	borrow: (waiting: number) => Promise<boolean>;
	readClock: () => ClockReading;
};

type WaitingRetry = {
	request: RetryRequest;
	resolve: (allowed: boolean) => void;
	/** Rounds of borrowing that began after it was asked for. */
	rounds: number;
};

/** Time until those that wait are offered again what the gateway holds and can borrow, in milliseconds. */
const retryMilliseconds = 100;

/** Rounds of borrowing after which a retry is refused that does not wait, though others were served: its caller can get another answer now. */
const maximumRounds = 3;

/**
 * Serves waiting retries in the order of {@linkcode compareClaims} and borrows for all of them together.
 *
 * @example
 * ```ts
 * const allowed = await queue.wait({hasBegun: true, importance: 0, deadline, waits: true, signal});
 * ```
 */
export class RetryQueue {
	readonly #options: RetryQueueOptions;
	#waiting: WaitingRetry[] = [];
	#isServing = false;

	constructor(options: RetryQueueOptions) {
		this.#options = options;
	}

	/** Number of retries that wait. */
	get length(): number {
		return this.#waiting.length;
	}

	/** Waits for a retry; returns whether it is allowed. */
	async wait(request: RetryRequest): Promise<boolean> {
		return new Promise(resolve => {
			this.#waiting.push({request, resolve, rounds: 0});
			this.#waiting.sort((left, right) => compareClaims(left.request, right.request));
			this.#serveHeld();
			void this.#serve();
		});
	}

	async #serve(): Promise<void> {
		if (this.#isServing) {
			return;
		}

		this.#isServing = true;
		try {
			while (this.#waiting.length > 0) {
				await this.#runRound();
			}
		} finally {
			this.#isServing = false;
		}
	}

	/** Borrows once for all that wait. */
	async #runRound(): Promise<void> {
		for (const waiting of this.#waiting) {
			waiting.rounds += 1;
		}

		const before = this.#waiting.length;
		const hasBorrowed = await this.#options.borrow(before);
		this.#serveHeld();
		this.#refuse(({request: {waits}, rounds}) => !waits && rounds >= (hasBorrowed ? maximumRounds : 1));
		if (!hasBorrowed || this.#waiting.length >= before) {
			await this.#pause();
		}
	}

	/** Serves those that wait from what the gateway holds, the first one first. */
	#serveHeld(): void {
		const now = this.#options.readClock();
		this.#refuse(({request: {signal, deadline}}) => signal?.aborted === true || now.steady >= deadline);
		while (this.#waiting.length > 0 && this.#options.takeHeld(now)) {
			this.#waiting.shift()!.resolve(true);
		}
	}

	#refuse(isRefused: (waiting: WaitingRetry) => boolean): void {
		const refused = this.#waiting.filter(waiting => isRefused(waiting));
		this.#waiting = this.#waiting.filter(waiting => !isRefused(waiting));
		for (const {resolve} of refused) {
			resolve(false);
		}
	}

	async #pause(): Promise<void> {
		if (this.#waiting.length > 0) {
			await pause(retryMilliseconds);
			this.#serveHeld();
		}
	}
}
