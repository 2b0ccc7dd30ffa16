/**
 * Requests of one gateway that wait for permits of one endpoint.
 *
 * @module
 */

/** Requests a permit for a request of the given importance; returns whether it was granted. */
export type RequestPermit = (importance: number) => Promise<boolean>;

type WaitingRequest = {importance: number; isNeeded: () => boolean; resolve: (granted: boolean) => void};

/**
 * Requests one permit at a time, for the most important request first. After a refusal all others are refused as well, since none of them
 * is more important.
 *
 * @example
 * ```ts
 * const queue = new PermitQueue(async importance => ask(importance));
 * const granted = await queue.take(0);
 * ```
 */
export class PermitQueue {
	readonly #requestPermit: RequestPermit;
	readonly #waiting: WaitingRequest[] = [];
	#isRequesting = false;

	constructor(requestPermit: RequestPermit) {
		this.#requestPermit = requestPermit;
	}

	/**
	 * Waits for a permit.
	 *
	 * @param importance Importance of the request; 0 is the highest.
	 * @param isNeeded Returns whether the permit is still needed when it is the request's turn. Default always.
	 * @returns Whether it was granted.
	 */
	async take(importance: number, isNeeded: () => boolean = () => true): Promise<boolean> {
		return new Promise(resolve => {
			const index = this.#waiting.findIndex(other => other.importance > importance);
			this.#waiting.splice(index === -1 ? this.#waiting.length : index, 0, {importance, isNeeded, resolve});
			void this.#requestAll();
		});
	}

	async #requestAll(): Promise<void> {
		if (this.#isRequesting) {
			return;
		}

		this.#isRequesting = true;
		for (let next = this.#waiting.shift(); next; next = this.#waiting.shift()) {
			if (!next.isNeeded()) {
				next.resolve(false);
				continue;
			}

			const granted = await this.#requestPermit(next.importance);
			next.resolve(granted);
			if (!granted) {
				this.#refuseUpTo(next.importance);
			}
		}

		this.#isRequesting = false;
	}

	/** Refuses the waiting requests that are not more important than a refused one; more important ones may have arrived meanwhile. */
	#refuseUpTo(importance: number): void {
		const index = this.#waiting.findIndex(other => other.importance >= importance);
		for (const {resolve} of index === -1 ? [] : this.#waiting.splice(index)) {
			resolve(false);
		}
	}
}
