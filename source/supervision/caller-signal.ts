/**
 * Detects when a caller disconnects.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';

/**
 * Returns a signal that aborts when the caller's connection closes before the response is complete.
 *
 * @param response Response to the caller.
 * @example
 * ```ts
 * const callerDisconnected = callerDisconnectSignal(response);
 * ```
 */
export function callerDisconnectSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}
