/**
 * Divides the time that a process spends on reading what callers send, so that it always gets round to its other work.
 *
 * Designed for callers whose bytes cost much time each, such as bodies in chunks of one byte. Each turn of the event loop has a limited time
 * for reading; connections for which none is left wait for the next turn, where those that have used least lately come first. A caller that
 * is alone is read in every turn, and ordinary callers do not meet the limit.
 *
 * @module
 */

/** Time for reading in one turn of the event loop, in milliseconds. */
const turnMilliseconds = 5;

/** Time after which half of what a connection has used is forgotten, in milliseconds. */
const halfLifeMilliseconds = 1000;

/** Bytes that are read at once: at first, at least and at most. */
const sliceBytes = {initial: 4096, least: 512, most: 16_384};

/** Time for one slice above which the next one is halved, and below which it is doubled, in milliseconds. */
const sliceMilliseconds = {most: 2, least: 0.5};

type Usage = {milliseconds: number; at: number};

/** Size of the first slice of a connection, in bytes. */
export const initialSliceBytes = sliceBytes.initial;

/** A slice that was read. */
export type ReadSlice = {
	/** Bytes that it could have had. */
	allowedBytes: number;
	/** Bytes that it had. */
	bytes: number;
	/** Time that reading it took, in milliseconds. */
	milliseconds: number;
};

/**
 * Returns how many bytes the next slice of a connection may have.
 *
 * @param slice The last one.
 */
export function nextSliceBytes({allowedBytes, bytes, milliseconds}: ReadSlice): number {
	if (milliseconds > sliceMilliseconds.most) {
		return Math.max(sliceBytes.least, Math.floor(bytes / 2));
	}

	return bytes === allowedBytes && milliseconds < sliceMilliseconds.least ? Math.min(sliceBytes.most, bytes * 2) : allowedBytes;
}

/**
 * Divides the time for reading among connections.
 *
 * @example
 * ```ts
 * if (turns.mayRead(connection)) {
 * 	turns.record(connection, milliseconds, now);
 * }
 * for (const waiting of turns.startTurn(now)) readOn(waiting);
 * ```
 */
export class ReadingTurns<Key> {
	readonly #waiting = new Set<Key>();
	readonly #usages = new Map<Key, Usage>();
	/** Time used for reading in this turn, in milliseconds. */
	#used = 0;

	/** Number of connections that wait for a turn. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/** Whether a connection may be read now; if not, it waits for a turn. */
	mayRead(key: Key): boolean {
		if (this.#used < turnMilliseconds) {
			return true;
		}

		this.#waiting.add(key);
		return false;
	}

	/**
	 * Records that a connection was read.
	 *
	 * @param key Identifies the connection.
	 * @param milliseconds Time that it took.
	 * @param now Monotonic time, in milliseconds.
	 */
	record(key: Key, milliseconds: number, now: number): void {
		this.#used += milliseconds;
		this.#usages.set(key, {milliseconds: this.#usageOf(key, now) + milliseconds, at: now});
	}

	/**
	 * Starts a turn.
	 *
	 * @param now Monotonic time, in milliseconds.
	 * @returns The connections that wait, in the order in which they should be read; they do not wait any more.
	 */
	startTurn(now: number): Key[] {
		this.#used = 0;
		const keys = [...this.#waiting]
			.map(key => ({key, usage: this.#usageOf(key, now)}))
			.toSorted((left, right) => left.usage - right.usage)
			.map(({key}) => key);
		this.#waiting.clear();
		return keys;
	}

	/** Removes a connection that has closed. */
	close(key: Key): void {
		this.#waiting.delete(key);
		this.#usages.delete(key);
	}

	/** Returns the time that a connection has used lately, in milliseconds. */
	#usageOf(key: Key, now: number): number {
		const usage = this.#usages.get(key);
		return usage ? usage.milliseconds * (0.5 ** ((now - usage.at) / halfLifeMilliseconds)) : 0;
	}
}
