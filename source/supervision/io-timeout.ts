/**
 * Timeouts of input and output that hold while the event loop is late.
 *
 * @module
 */

/** A timeout that was started. */
export type IoTimeout = {
	/** Starts it anew, since something has arrived. */
	refresh(): void;
	/** Ends it. */
	clear(): void;
};

/**
 * Starts a timeout that passes only after input which has already arrived was handled.
 *
 * When the event loop is late, it runs expired timers before it reads from sockets. A plain timer would then take what has arrived in time
 * for missing.
 *
 * @param milliseconds Duration, in milliseconds.
 * @param onTimeout Called when it has passed.
 * @example
 * ```ts
 * const timeout = startIoTimeout(150, () => request.destroy(error));
 * socket.once('connect', () => timeout.clear());
 * ```
 */
export function startIoTimeout(milliseconds: number, onTimeout: () => void): IoTimeout {
	let pendingCheck: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		// Runs after the event loop has read from sockets once more.
		pendingCheck = setImmediate(onTimeout);
	}, milliseconds);
	return {
		refresh() {
			clearImmediate(pendingCheck);
			timer.refresh();
		},
		clear() {
			clearImmediate(pendingCheck);
			clearTimeout(timer);
		},
	};
}
