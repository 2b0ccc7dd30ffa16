/**
 * Retries an idempotent write until its outcome is known.
 *
 * @module
 */
import {pause} from '../supervision/mod.ts';

/** Options of {@linkcode retryWrite}. */
export type RetryWriteOptions = {
	/** Time after which the write is no longer retried, in milliseconds. */
	giveUpMilliseconds: number;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

const initialDelayMilliseconds = 50;
const maximumDelayMilliseconds = 5000;

/**
 * Retries a write with exponential, jittered delays.
 *
 * @param write Returns `undefined` while its outcome is not known.
 * @param options Time limit, clock and randomness.
 * @returns The result of the write, or `undefined` when the time limit was reached.
 * @example
 * ```ts
 * const result = await retryWrite(async () => attempt(), {giveUpMilliseconds: 60_000, clock, random});
 * ```
 */
export async function retryWrite<Value>(write: () => Promise<Value | undefined>, options: RetryWriteOptions): Promise<Value | undefined> {
	const giveUpAt = options.clock() + options.giveUpMilliseconds;
	for (let delay = initialDelayMilliseconds; ; delay = Math.min(delay * 2, maximumDelayMilliseconds)) {
		const result = await write();
		if (result !== undefined || options.clock() >= giveUpAt) {
			return result;
		}

		await pause(delay * (0.5 + (0.5 * options.random())));
	}
}
