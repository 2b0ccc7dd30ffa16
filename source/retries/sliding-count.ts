/**
 * Counts events over a sliding window, in parts of it.
 *
 * @module
 */

/** Parts into which a window is divided; what is counted is exact to one of them. */
const windowParts = 10;

/**
 * Counts events of the last window. Since parts are counted as a whole, it tells two bounds of the true number.
 *
 * @example
 * ```ts
 * const count = new SlidingCount(10_000);
 * count.add(now);
 * count.atMost(now); // 1
 * ```
 */
export class SlidingCount {
	readonly #partMilliseconds: number;
	/** Number of events by part; a part is its index since time 0. */
	readonly #parts = new Map<number, number>();

	/** @param windowMilliseconds Length of the window. */
	constructor(windowMilliseconds: number) {
		this.#partMilliseconds = windowMilliseconds / windowParts;
	}

	/** Counts an event. */
	add(now: number): void {
		const part = this.#partOf(now);
		this.#parts.set(part, (this.#parts.get(part) ?? 0) + 1);
	}

	/** Events of the whole window, and perhaps some that are older by less than a part. */
	atMost(now: number): number {
		return this.#sum(this.#partOf(now) - windowParts);
	}

	/** Events of the window without its oldest part, all of which are certainly in it. */
	atLeast(now: number): number {
		return this.#sum(this.#partOf(now) - windowParts + 1);
	}

	#partOf(now: number): number {
		return Math.floor(now / this.#partMilliseconds);
	}

	#sum(first: number): number {
		let sum = 0;
		for (const [part, events] of this.#parts) {
			if (part < first - 1) {
				this.#parts.delete(part);
			} else if (part >= first) {
				sum += events;
			}
		}

		return sum;
	}
}
