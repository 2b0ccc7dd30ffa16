/**
 * Whether this router is leaving, and what it must still finish.
 *
 * @module
 */

/** Options of {@linkcode Leaving}. */
export type LeavingOptions = {
	/** Time for which callers keep an answer that names this host, in milliseconds. */
	entryTimeToLiveMilliseconds: number;
	/** Time until every other router has heard that this one is leaving and names it no more, in milliseconds. Default 2,000. */
	spreadMilliseconds?: number;
};

/**
 * Tracks a planned stop: entries drop the host at once, callers who kept an old answer are served until it has expired,
 * and every request in progress ends by itself.
 *
 * @example
 * ```ts
 * leaving.begin(Date.now());
 * await leaving.whenIdle();
 * ```
 */
export class Leaving {
	readonly #servedMilliseconds: number;
	#refusingFrom: number | undefined;
	#inProgress = 0;
	readonly #idleWaiters = new Set<() => void>();
	readonly #beginListeners = new Set<() => void>();

	constructor({entryTimeToLiveMilliseconds, spreadMilliseconds = 2000}: LeavingOptions) {
		this.#servedMilliseconds = entryTimeToLiveMilliseconds + spreadMilliseconds;
	}

	/** Whether a planned stop has begun. */
	get begun(): boolean {
		return this.#refusingFrom !== undefined;
	}

	/** Requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/**
	 * Begins a planned stop; later calls change nothing.
	 *
	 * @param now Wall-clock time, in milliseconds.
	 */
	begin(now: number): void {
		if (this.#refusingFrom !== undefined) {
			return;
		}

		this.#refusingFrom = now + this.#servedMilliseconds;
		for (const listener of this.#beginListeners) {
			listener();
		}
	}

	/** Calls back when a planned stop begins. */
	onBegin(listener: () => void): void {
		this.#beginListeners.add(listener);
	}

	/** Whether new requests are refused. */
	refuses(now: number): boolean {
		return this.#refusingFrom !== undefined && now >= this.#refusingFrom;
	}

	/** Time until new requests are refused, in milliseconds. */
	millisecondsUntilRefusing(now: number): number {
		return Math.max(0, (this.#refusingFrom ?? Number.POSITIVE_INFINITY) - now);
	}

	/** Counts a request that has started; returns the function that counts its end. */
	track(): () => void {
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

	/** Waits until no request is in progress. */
	async whenIdle(): Promise<void> {
		if (this.#inProgress > 0) {
			await new Promise<void>(resolve => {
				this.#idleWaiters.add(resolve);
			});
		}
	}
}
