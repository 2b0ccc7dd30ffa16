/**
 * Accounts for the heads of callers' requests that are not answered yet, and decides whose further requests wait to be read.
 *
 * Designed for callers that send many requests on a connection without waiting for answers: what they have sent stays in the network until
 * earlier requests are answered, so that a crowd of them takes no memory for it. A caller that waits for each answer is never affected.
 *
 * @module
 */
import {type IntakeLimits} from './intake-limits.ts';

/** Options of {@linkcode HeadAccount}. */
export type HeadAccountOptions = Pick<IntakeLimits, 'headBytesPerConnection' | 'requestsReadAhead' | 'allHeadBytes'>;

type Entry = {
	/** Bytes of the heads of requests in progress. */
	bytes: number;
	/** Requests in progress. */
	requests: number;
	/** Requests whose body is read or dropped now. */
	bodies: number;
	/** Called when further requests may be read. */
	readonly onRoom: () => void;
};

/**
 * Accounts for the heads of requests in progress on all connections.
 *
 * @example
 * ```ts
 * heads.open(connection, () => readOn());
 * heads.startRequest(connection, 412);
 * heads.mayReadOn(connection);
 * heads.endRequest(connection, 412);
 * ```
 */
export class HeadAccount<Key> {
	readonly #options: HeadAccountOptions;
	readonly #entries = new Map<Key, Entry>();
	/** Connections that wait to be read on. */
	readonly #waiting = new Set<Entry>();
	#totalBytes = 0;

	constructor(options: HeadAccountOptions) {
		this.#options = options;
	}

	/** Bytes of the heads of all requests in progress. */
	get totalBytes(): number {
		return this.#totalBytes;
	}

	/**
	 * Adds a connection.
	 *
	 * @param key Identifies the connection.
	 * @param onRoom Called when it may be read on after {@linkcode HeadAccount.mayReadOn} has returned false.
	 */
	open(key: Key, onRoom: () => void): void {
		this.#entries.set(key, {
			bytes: 0, requests: 0, bodies: 0, onRoom,
		});
	}

	/** Removes a connection that has closed. */
	close(key: Key): void {
		const entry = this.#entries.get(key);
		if (!entry) {
			return;
		}

		this.#totalBytes -= entry.bytes;
		this.#entries.delete(key);
		this.#waiting.delete(entry);
		this.#wake();
	}

	/** Records that the head of a request was read, with its size in bytes. */
	startRequest(key: Key, bytes: number): void {
		this.#change(key, {bytes, requests: 1});
	}

	/** Records that a request has ended, with the size of its head in bytes. */
	endRequest(key: Key, bytes: number): void {
		this.#change(key, {bytes: -bytes, requests: -1});
	}

	/** Records that the body of a request is read, or dropped, from now on. */
	startBody(key: Key): void {
		this.#change(key, {bodies: 1});
	}

	/** Records that the body of a request has arrived, or does not any more. */
	endBody(key: Key): void {
		this.#change(key, {bodies: -1});
	}

	/** Whether a connection has a request in progress and no body that is being read, so that what comes next are further requests. */
	isReadAhead(key: Key): boolean {
		const entry = this.#entries.get(key);
		return entry !== undefined && entry.requests > 0 && entry.bodies === 0;
	}

	/** Whether a connection may be read on; if not, its `onRoom` is called once it may. */
	mayReadOn(key: Key): boolean {
		const entry = this.#entries.get(key);
		if (!entry || this.#hasRoom(entry)) {
			return true;
		}

		this.#waiting.add(entry);
		return false;
	}

	#hasRoom({requests, bodies, bytes}: Entry): boolean {
		const {headBytesPerConnection, requestsReadAhead, allHeadBytes} = this.#options;
		return requests === 0 || bodies > 0 || (bytes < headBytesPerConnection && requests < requestsReadAhead && this.#totalBytes < allHeadBytes);
	}

	#change(key: Key, {bytes = 0, requests = 0, bodies = 0}: Partial<Pick<Entry, 'bytes' | 'requests' | 'bodies'>>): void {
		const entry = this.#entries.get(key);
		if (!entry) {
			return;
		}

		entry.bytes += bytes;
		entry.requests += requests;
		entry.bodies += bodies;
		this.#totalBytes += bytes;
		if (bytes < 0 || bodies > 0) {
			this.#wake();
		}
	}

	#wake(): void {
		for (const entry of this.#waiting) {
			if (this.#hasRoom(entry)) {
				this.#waiting.delete(entry);
				entry.onRoom();
			}
		}
	}
}
