/**
 * Decides which connections of other processes of the system are closed when there are too many.
 *
 * Designed for a crowd that opens connections to the port at which such processes exchange messages: these are heard all the time, while the
 * crowd is silent or closed for what it sends.
 *
 * @module
 */

type PeerConnection = {
	readonly receivedBytes: () => number;
	/** Bytes received when last looked at, and the monotonic time of the look at which there were more than before, in milliseconds. */
	progress: {bytes: number; at: number};
};

/**
 * Follows connections of other processes.
 *
 * @example
 * ```ts
 * const victim = guard.open(socket, () => socket.bytesRead, now);
 * ```
 */
export class PeerGuard<Key> {
	readonly #maximum: number;
	readonly #connections = new Map<Key, PeerConnection>();

	/**
	 * Creates a guard.
	 *
	 * @param maximum Connections at a time.
	 */
	constructor(maximum: number) {
		this.#maximum = maximum;
	}

	/**
	 * Adds a connection.
	 *
	 * @param key Identifies the connection.
	 * @param receivedBytes Returns the bytes received on it so far.
	 * @param now Monotonic time, in milliseconds.
	 * @returns The connection to close for it, from which nothing was received for longest; `undefined` if there is room.
	 */
	open(key: Key, receivedBytes: () => number, now: number): Key | undefined {
		const victim = this.#connections.size >= this.#maximum ? this.#findSilent(now) : undefined;
		if (victim !== undefined) {
			this.#connections.delete(victim);
		}

		this.#connections.set(key, {receivedBytes, progress: {bytes: 0, at: now}});
		return victim;
	}

	/** Removes a connection that has closed. */
	close(key: Key): void {
		this.#connections.delete(key);
	}

	#findSilent(now: number): Key | undefined {
		let longest: {key: Key; at: number} | undefined;
		for (const [key, connection] of this.#connections) {
			const bytes = connection.receivedBytes();
			if (bytes > connection.progress.bytes) {
				connection.progress = {bytes, at: now};
			}

			if (connection.progress.at < (longest?.at ?? Number.POSITIVE_INFINITY)) {
				longest = {key, at: connection.progress.at};
			}
		}

		return longest?.key;
	}
}
