/**
 * A delay that an abort ends early without an error.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';

/**
 * Waits for a time, or until the signal aborts, whichever comes first.
 *
 * @param milliseconds Time to wait.
 * @param signal Ends the delay early.
 * @returns Whether the whole time passed.
 * @example
 * ```ts
 * while (await pause(1000, signal)) {
 * 	await poll();
 * }
 * ```
 */
export async function pause(milliseconds: number, signal?: AbortSignal): Promise<boolean> {
	try {
		await delay(milliseconds, undefined, {signal});
		return true;
	} catch {
		return false;
	}
}
