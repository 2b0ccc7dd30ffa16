/**
 * Waits for a result until a deadline, or until nobody needs it any more.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';

/** Options of {@linkcode settleInTime}. */
export type SettleInTimeOptions = {
	/** Monotonic time until which to wait, in milliseconds. */
	until: number;
	/** Ends the wait early. */
	signal: AbortSignal;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

/** Why a wait ended without the result: its time is up, or its signal has aborted. */
export type WaitEnd = 'timeout' | 'aborted';

/**
 * Waits for a promise. Whoever waits decides when the wait ends, so that no slow component can delay it any longer; what the promise does
 * goes on.
 *
 * @param promise The result.
 * @param options When the wait ends.
 * @returns The result, or why it did not come in time.
 * @example
 * ```ts
 * const permit = await settleInTime(limiter.acquire(endpoint), {until: deadline, signal: callerDisconnected, clock});
 * ```
 */
export async function settleInTime<Value>(promise: Promise<Value>, {until, signal, clock}: SettleInTimeOptions): Promise<Result<Value, WaitEnd>> {
	let timer: NodeJS.Timeout | undefined;
	let onAbort: (() => void) | undefined;
	const ended = new Promise<Result<Value, WaitEnd>>(resolve => {
		onAbort = () => {
			resolve(err('aborted'));
		};

		if (signal.aborted) {
			onAbort();
		}

		signal.addEventListener('abort', onAbort);
		timer = setTimeout(() => {
			resolve(err('timeout'));
		}, Math.max(0, Math.ceil(until - clock())));
	});
	try {
		return await Promise.race([promise.then(value => ok(value)), ended]);
	} finally {
		clearTimeout(timer);
		signal.removeEventListener('abort', onAbort!);
	}
}
