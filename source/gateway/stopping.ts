/**
 * Decides what a gateway still does after it was asked to stop.
 *
 * @module
 */

/** Options of {@linkcode Stopping}. */
export type StoppingOptions = {
	/** Time from the request to stop until the process is killed, in milliseconds. */
	stopMilliseconds: number;
};

/** Share of the time to stop for which new requests are taken, from callers who have not heard of the stop yet. */
const takingShare = 0.3;

/** Share of the time to stop after which the process ends, whatever is in progress. */
const endingShare = 0.96;

/** Time without a request after which the process may end early, in milliseconds. */
const quietMilliseconds = 800;

/**
 * Tracks a planned stop and the requests in progress.
 *
 * @example
 * ```ts
 * stopping.begin(now);
 * stopping.takes(now); // true for a while
 * ```
 */
export class Stopping {
	readonly #stopMilliseconds: number;
	#begunAt: number | undefined;
	#inProgress = 0;
	#lastRequestAt = Number.NEGATIVE_INFINITY;

	constructor({stopMilliseconds}: StoppingOptions) {
		this.#stopMilliseconds = stopMilliseconds;
	}

	/** Whether a stop has begun. */
	get begun(): boolean {
		return this.#begunAt !== undefined;
	}

	/** Requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Begins a stop; later calls change nothing. */
	begin(now: number): void {
		this.#begunAt ??= now;
	}

	/** Counts a request; returns the function that counts its end. */
	track(now: number): () => void {
		this.#lastRequestAt = now;
		this.#inProgress += 1;
		let ended = false;
		return () => {
			this.#inProgress -= ended ? 0 : 1;
			ended = true;
		};
	}

	/** Whether new requests are taken. */
	takes(now: number): boolean {
		return this.#begunAt === undefined || now - this.#begunAt < this.#stopMilliseconds * takingShare;
	}

	/** Whether the process may end: nothing is in progress and nothing new comes, or the time is over. */
	mayEnd(now: number): boolean {
		if (this.#begunAt === undefined) {
			return false;
		}

		const quiet = this.#inProgress === 0 && now - Math.max(this.#lastRequestAt, this.#begunAt) >= quietMilliseconds;
		return quiet || now - this.#begunAt >= this.#stopMilliseconds * endingShare;
	}
}
