/**
 * Repeats a write that may be repeated until it is settled.
 *
 * @module
 */
import {pause} from '../supervision/mod.ts';

/** Options of {@linkcode retryWrite}. */
export type RetryWriteOptions = {
	/** Time after which the write is given up, in milliseconds. */
	giveUpMilliseconds: number;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

const firstPauseMilliseconds = 50;
const longestPauseMilliseconds = 5000;

/**
 * Repeats a write with growing, jittered pauses.
 *
 * @param write Returns `undefined` while its outcome is open.
 * @param options Time limit, clock and randomness.
 * @returns What the write returned, or `undefined` when it was given up.
 * @example
 * ```ts
 * const settled = await retryWrite(async () => attempt(), {giveUpMilliseconds: 60_000, clock, random});
 * ```
 */
export async function retryWrite<Value>(write: () => Promise<Value | undefined>, options: RetryWriteOptions): Promise<Value | undefined> {
	const giveUpAt = options.clock() + options.giveUpMilliseconds;
	for (let longest = firstPauseMilliseconds; ; longest = Math.min(longest * 2, longestPauseMilliseconds)) {
		const settled = await write();
		if (settled !== undefined || options.clock() >= giveUpAt) {
			return settled;
		}

		await pause(longest * (0.5 + (0.5 * options.random())));
	}
}
