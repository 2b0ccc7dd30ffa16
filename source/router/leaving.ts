/**
 * Whether this router is leaving, and what it must still finish.
 *
 * @module
 */

/**
 * Tracks a planned stop: entries drop the host at once, callers who kept an old answer are served until it has expired,
 * and every request in progress ends by itself.
 *
 * @example
 * ```ts
 * leaving.begin(Date.now(), 10_000);
 * await leaving.whenIdle();
 * ```
 */
export class Leaving {
	#refusingFrom: number | undefined;
	#inProgress = 0;
	readonly #idleWaiters = new Set<() => void>();

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
	 * @param entryTimeToLiveMilliseconds Time for which callers keep an answer that names this host.
	 */
	begin(now: number, entryTimeToLiveMilliseconds: number): void {
		this.#refusingFrom ??= now + entryTimeToLiveMilliseconds;
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
