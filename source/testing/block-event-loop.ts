/**
 * Keeps the event loop of a test's process busy, as a burst of work does.
 *
 * @module
 */

/**
 * Returns after some time in which the event loop handles nothing else.
 *
 * @param milliseconds The time, in milliseconds.
 */
export function blockEventLoop(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Busy.
	}
}
