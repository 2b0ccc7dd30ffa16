/**
 * Decides which work a gateway still does during a graceful shutdown.
 *
 * @module
 */

/** Options of {@linkcode GracefulShutdown}. */
export type GracefulShutdownOptions = {
	/** Time from the stop signal until the process is killed, in milliseconds. */
	timeoutMilliseconds: number;
};

/** Fraction of the shutdown timeout during which new requests are accepted, since callers may not know of the shutdown yet. */
const acceptingShare = 0.3;

/** Fraction of the shutdown timeout after which the process exits even with requests in progress. */
const exitShare = 0.96;

/** Time without a new request after which an idle process may exit early, in milliseconds. */
const idleMilliseconds = 800;

/**
 * Tracks the requests in progress and the time limits of a graceful shutdown.
 *
 * @example
 * ```ts
 * shutdown.start(now);
 * shutdown.acceptsRequests(now); // true until part of the timeout has passed
 * ```
 */
export class GracefulShutdown {
	readonly #timeoutMilliseconds: number;
	#startedAt: number | undefined;
	#inProgress = 0;
	#lastRequestAt = Number.NEGATIVE_INFINITY;

	constructor({timeoutMilliseconds}: GracefulShutdownOptions) {
		this.#timeoutMilliseconds = timeoutMilliseconds;
	}

	/** Whether the shutdown has started. */
	get hasStarted(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Number of requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Starts the shutdown; later calls have no effect. */
	start(now: number): void {
		this.#startedAt ??= now;
	}

	/** Counts a request as in progress; returns a function that marks it as ended and may be called more than once. */
	trackRequest(now: number): () => void {
		this.#lastRequestAt = now;
		this.#inProgress += 1;
		let ended = false;
		return () => {
			this.#inProgress -= ended ? 0 : 1;
			ended = true;
		};
	}

	/** Whether new requests are still accepted. */
	acceptsRequests(now: number): boolean {
		return this.#startedAt === undefined || now - this.#startedAt < this.#timeoutMilliseconds * acceptingShare;
	}

	/** Whether the process may exit: it has been idle for long enough, or the timeout has nearly passed. */
	canExit(now: number): boolean {
		if (this.#startedAt === undefined) {
			return false;
		}

		const isIdle = this.#inProgress === 0 && now - Math.max(this.#lastRequestAt, this.#startedAt) >= idleMilliseconds;
		return isIdle || now - this.#startedAt >= this.#timeoutMilliseconds * exitShare;
	}
}
