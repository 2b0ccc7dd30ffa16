/**
 * The signal that settings have changed, held before the program does anything: without a handler it would end the process.
 *
 * @module
 */
import process from 'node:process';

let handler: (() => void) | undefined;
let cameEarly = false;

process.on('SIGHUP', () => {
	cameEarly ||= handler === undefined;
	handler?.();
});

/**
 * Calls a function at each signal, and once for those that came before.
 *
 * @param next The function.
 */
export function onSettingsSignal(next: () => void): void {
	handler = next;
	if (cameEarly) {
		next();
	}
}
