/**
 * Handles SIGHUP, which announces changed settings, from the start of the process: without a handler the signal would end it.
 *
 * @module
 */
import process from 'node:process';

let handler: (() => void) | undefined;
let receivedBeforeHandler = false;

process.on('SIGHUP', () => {
	receivedBeforeHandler ||= handler === undefined;
	handler?.();
});

/**
 * Calls a function on each SIGHUP, and once if any arrived earlier.
 *
 * @param next Function to call.
 */
export function onSettingsSignal(next: () => void): void {
	handler = next;
	if (receivedBeforeHandler) {
		next();
	}
}
