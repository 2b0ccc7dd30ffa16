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

type WaitingRetry = {request: RetryRequest; resolve: (allowed: boolean) => void};

/** Time until those that wait are offered again what the gateway holds and can borrow, in milliseconds. */
const retryMilliseconds = 100;

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
			this.#waiting.push({request, resolve});
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
		while (this.#waiting.length > 0) {
			const hasBorrowed = await this.#options.borrow(this.#waiting.length);
			this.#serveHeld();
			if (!hasBorrowed) {
				this.#refuse(({waits}) => !waits);
				await this.#pause();
			}
		}

		this.#isServing = false;
	}

	/** Serves those that wait from what the gateway holds, the first one first. */
	#serveHeld(): void {
		const now = this.#options.readClock();
		this.#refuse(({signal, deadline}) => signal?.aborted === true || now.steady >= deadline);
		while (this.#waiting.length > 0 && this.#options.takeHeld(now)) {
			this.#waiting.shift()!.resolve(true);
		}
	}

	#refuse(isRefused: (request: RetryRequest) => boolean): void {
		const refused = this.#waiting.filter(({request}) => isRefused(request));
		this.#waiting = this.#waiting.filter(({request}) => !isRefused(request));
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
