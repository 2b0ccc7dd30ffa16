/**
 * Polling as a stream of values.
 *
 * @module
 */
import {generate, type Stream} from 'most';
import {pause} from './pause.ts';

/** Options of {@linkcode poll}. */
export type PollOptions = {
	/** Mean time between the end of one read and the start of the next, in milliseconds. */
	periodMilliseconds: number;
	/** Returns a random number from 0 to 1, which spreads the reads of many hosts over time. */
	random: () => number;
	/** Ends the stream. */
	signal: AbortSignal;
};

/** Fraction of the period by which the time between two reads varies in each direction. */
const jitterShare = 0.2;

type Read<Value> = {ended: true} | {ended: false; value: Value};

/**
 * Reads a value periodically; a slow read delays the next one and never overlaps it.
 *
 * @param read Reads the value.
 * @param options Period, jitter source and abort signal.
 * @returns A stream of the values read; the first read starts immediately.
 * @example
 * ```ts
 * await poll(async () => platform.hosts(), {periodMilliseconds: 1000, random, signal}).observe(use);
 * ```
 */
export function poll<Value>(read: () => Promise<Value>, options: PollOptions): Stream<Value> {
	const {periodMilliseconds, random, signal} = options;
	const readAfter = async (milliseconds: number): Promise<Read<Value>> => {
		await pause(milliseconds, signal);
		return signal.aborted ? {ended: true} : {ended: false, value: await read()};
	};

	const reads = generate<Read<Value>>(function * () {
		yield readAfter(0);
		for (;;) {
			const jitter = 1 + (jitterShare * ((2 * random()) - 1));
			yield readAfter(periodMilliseconds * jitter);
		}
	});
	return reads.takeWhile(outcome => !outcome.ended).filter(outcome => isValue(outcome)).map(({value}) => value);
}

function isValue<Value>(outcome: Read<Value>): outcome is Extract<Read<Value>, {ended: false}> {
	return !outcome.ended;
}
