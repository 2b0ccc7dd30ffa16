/**
 * Tracks the state of a router's graceful shutdown and the requests in progress.
 *
 * @module
 */

/** Options of {@linkcode GracefulShutdown}. */
export type GracefulShutdownOptions = {
	/** Time for which callers cache an entry list that contains this host, in milliseconds. */
	entryTimeToLiveMilliseconds: number;
	/** Time until every other router knows of the shutdown and omits this host from its entry lists, in milliseconds. Default 2,000. */
	propagationMilliseconds?: number;
};

/**
 * Tracks a graceful shutdown: new entry lists omit the host at once, callers with a cached entry list are served until it
 * has expired, and requests in progress run to their end.
 *
 * @example
 * ```ts
 * shutdown.start(Date.now());
 * await shutdown.whenIdle();
 * ```
 */
export class GracefulShutdown {
	readonly #acceptMilliseconds: number;
	#rejectsFrom: number | undefined;
	#inProgress = 0;
	readonly #idleWaiters = new Set<() => void>();
	readonly #startListeners = new Set<() => void>();

	constructor({entryTimeToLiveMilliseconds, propagationMilliseconds = 2000}: GracefulShutdownOptions) {
		this.#acceptMilliseconds = entryTimeToLiveMilliseconds + propagationMilliseconds;
	}

	/** Whether the shutdown has started. */
	get hasStarted(): boolean {
		return this.#rejectsFrom !== undefined;
	}

	/** Number of requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/**
	 * Starts the shutdown; later calls have no effect.
	 *
	 * @param now Wall-clock time, in milliseconds.
	 */
	start(now: number): void {
		if (this.#rejectsFrom !== undefined) {
			return;
		}

		this.#rejectsFrom = now + this.#acceptMilliseconds;
		for (const listener of this.#startListeners) {
			listener();
		}
	}

	/** Registers a listener for the start of the shutdown. */
	onStart(listener: () => void): void {
		this.#startListeners.add(listener);
	}

	/** Whether new requests are rejected at the given wall-clock time, in milliseconds. */
	rejectsRequests(now: number): boolean {
		return this.#rejectsFrom !== undefined && now >= this.#rejectsFrom;
	}

	/** Returns the time until new requests are rejected, in milliseconds; `Infinity` if the shutdown has not started. */
	millisecondsUntilRejecting(now: number): number {
		return Math.max(0, (this.#rejectsFrom ?? Number.POSITIVE_INFINITY) - now);
	}

	/** Counts a request as in progress; returns a function that ends the count and may be called more than once. */
	trackRequest(): () => void {
		this.#inProgress += 1;
		let ended = false;
		return () => {
			if (ended) {
				return;
			}

			ended = true;
			this.#inProgress -= 1;
			if (this.#inProgress === 0) {
				for (const waiter of this.#idleWaiters) {
					waiter();
				}

				this.#idleWaiters.clear();
			}
		};
	}

	/** Resolves once no request is in progress. */
	async whenIdle(): Promise<void> {
		if (this.#inProgress > 0) {
			await new Promise<void>(resolve => {
				this.#idleWaiters.add(resolve);
			});
		}
	}
}
