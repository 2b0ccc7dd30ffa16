/**
 * Tells when a caller has left.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';

/**
 * Returns a signal that aborts when the caller's connection closes before its answer is complete.
 *
 * @param response The caller's answer.
 * @example
 * ```ts
 * const callerDisconnected = signalOfCaller(response);
 * ```
 */
export function signalOfCaller(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}
