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

/** A request in progress. */
type TrackedRequest = {
	/** Ends it with a response of its own if it can't be completed. */
	onExit: () => void;
	isWritten: () => boolean;
};

/** Fraction of the shutdown timeout during which new requests are accepted, since callers may not know of the shutdown yet. */
const acceptingShare = 0.3;

/** Time from the stop signal after which no new request may be passed on, in milliseconds: longer ones may take until the exit, and callers have learned of the stop by then. */
const lastAcceptedMilliseconds = 3000;

/** Time that the signal may take to be noticed, by which requests are refused earlier, in milliseconds. */
const signalDelayMilliseconds = 200;

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
	/** Requests whose response has not been delivered. */
	readonly #inProgress = new Set<TrackedRequest>();
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
		return this.#inProgress.size;
	}

	/** Number of requests in progress whose response has been written, but not delivered. */
	get undelivered(): number {
		return [...this.#inProgress].filter(({isWritten}) => isWritten()).length;
	}

	/** Starts the shutdown; later calls have no effect. */
	start(now: number): void {
		this.#startedAt ??= now;
	}

	/**
	 * Counts a request as in progress.
	 *
	 * @param now Monotonic time, in milliseconds.
	 * @param onExit Called if the process exits before the request has ended.
	 * @param isWritten Whether its whole response has been written, delivered or not. Default never.
	 * @returns Marks the request as ended, its response being delivered; may be called more than once.
	 */
	trackRequest(now: number, onExit: () => void, isWritten: () => boolean = () => false): () => void {
		const request = {onExit, isWritten};
		this.#lastRequestAt = now;
		this.#inProgress.add(request);
		return () => {
			this.#inProgress.delete(request);
		};
	}

	/** Ends the requests that are still in progress when the process exits. */
	endRequests(): void {
		for (const {onExit} of this.#inProgress) {
			onExit();
		}
	}

	/** Whether new requests are still accepted. */
	acceptsRequests(now: number): boolean {
		return this.#startedAt === undefined || now - this.#startedAt < Math.min(this.#timeoutMilliseconds * acceptingShare, lastAcceptedMilliseconds - signalDelayMilliseconds);
	}

	/** Whether the process may exit: it has been idle for long enough, or the timeout has nearly passed. */
	canExit(now: number): boolean {
		if (this.#startedAt === undefined) {
			return false;
		}

		const isIdle = this.#inProgress.size === 0 && now - Math.max(this.#lastRequestAt, this.#startedAt) >= idleMilliseconds;
		return isIdle || now - this.#startedAt >= this.#timeoutMilliseconds * exitShare;
	}
}
