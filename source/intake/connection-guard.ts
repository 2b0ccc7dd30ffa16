/**
 * Decides which connections of callers are closed: those whose head does not arrive, and some when there are too many.
 *
 * @module
 */
import {type IntakeLimits} from './intake-limits.ts';

/** What is known of one connection. */
type GuardedConnection = {
	/** Returns the bytes received on it so far. */
	readonly receivedBytes: () => number;
	/** Requests in progress whose body is not read now: it has arrived, or they wait to be admitted. */
	served: number;
	/** Requests whose body is read, or dropped after a refusal. */
	reading: number;
	/** Bytes received when last looked at, and the monotonic time of the look at which there were more than before, in milliseconds. */
	progress: {bytes: number; at: number};
	/** Whether a request on it has been completed. */
	hasCompleted: boolean;
	/** Monotonic time since which it is in its state, in milliseconds. */
	since: number;
	/** Bytes received when no request was in progress any more. */
	bytesAtRest: number;
	/** Monotonic time at which bytes of a head were first seen, in milliseconds; absent while there are none. */
	headSince: number | undefined;
	/** Start of dropping the rest of a body that is not used: the time in milliseconds, and the bytes received until then. */
	dropping: {since: number; bytes: number} | undefined;
};

/** Options of {@linkcode ConnectionGuard}. */
export type ConnectionGuardOptions = Pick<IntakeLimits, 'connections' | 'requestsPerConnection' | 'requests'>;

/** Limits on what callers send, from the configuration. */
export type SweepLimits = {
	/** Time within which the head of a request must arrive, in milliseconds. */
	headMilliseconds: number;
	/** Bytes of a head. */
	headBytes: number;
	/** Time for which a connection may be idle, in milliseconds. */
	idleMilliseconds: number;
	/** Bytes of a body. */
	bodyBytes: number;
};

/** A connection to close: its head is late or too large, no request came on it, or the rest of a body is too long. */
export type LateConnection<Key> = {key: Key; reason: 'timeout' | 'idle' | 'too-large'};

/** Time that a caller has for a head beyond the configured one, in milliseconds: its bytes may have waited on the way. */
const headGraceMilliseconds = 1000;

/** Bytes before the end of a head beyond the limit on it: the line of the request, and empty lines before it. */
const headGraceBytes = 65_536;

/** Bytes of a refused body that are dropped, at least, and as a multiple of the largest body; a caller that sends more does not stop. */
const dropped = {bytes: 16_777_216, bodies: 4};

/** Time without a byte after which a body counts as not arriving, in milliseconds. */
const stallMilliseconds = 1000;

/** Order in which connections are closed when there are too many: the first kind that there is. */
const closingOrder: ReadonlyArray<(connection: GuardedConnection, now: number) => boolean> = [
	// Nothing has come of it yet.
	({reading, served, hasCompleted}) => reading + served === 0 && !hasCompleted,
	// A body that does not arrive.
	({reading, served, progress}, now) => reading > 0 && served === 0 && now - progress.at >= stallMilliseconds,
	// A caller between two requests, which may open a connection again.
	({reading, served}) => reading + served === 0,
];

/**
 * Follows the connections of callers.
 *
 * @example
 * ```ts
 * const victim = guard.open(socket, () => socket.bytesRead, now);
 * for (const {key, reason} of guard.sweep(limits, now)) close(key, reason);
 * ```
 */
export class ConnectionGuard<Key> {
	readonly #options: ConnectionGuardOptions;
	readonly #connections = new Map<Key, GuardedConnection>();
	/** Requests in progress on all connections. */
	#requests = 0;

	constructor(options: ConnectionGuardOptions) {
		this.#options = options;
	}

	/** Whether no further request may be in progress. */
	get hasTooManyRequests(): boolean {
		return this.#requests > this.#options.requests;
	}

	/** Number of connections. */
	get size(): number {
		return this.#connections.size;
	}

	/**
	 * Adds a connection.
	 *
	 * @param key Identifies the connection.
	 * @param receivedBytes Returns the bytes received on it so far.
	 * @param now Monotonic time, in milliseconds.
	 * @returns The connection to close for it, which may be the new one; `undefined` if there is room.
	 */
	open(key: Key, receivedBytes: () => number, now: number): Key | undefined {
		const isFull = this.#connections.size >= this.#options.connections;
		const victim = isFull ? this.#chooseVictim(now) ?? key : undefined;
		if (victim !== undefined) {
			this.#connections.delete(victim);
		}

		this.#connections.set(key, {
			receivedBytes, served: 0, reading: 0, progress: {bytes: 0, at: now}, hasCompleted: false, since: now, bytesAtRest: 0, headSince: undefined, dropping: undefined,
		});
		return victim;
	}

	/** Removes a connection that has closed. */
	close(key: Key): void {
		this.#connections.delete(key);
	}

	/** Records that the head of a request has arrived; returns whether the connection may have one more in progress. */
	startRequest(key: Key, now: number): boolean {
		this.#requests += 1;
		const connection = this.#connections.get(key);
		if (!connection) {
			return true;
		}

		connection.served += 1;
		connection.since = now;
		connection.headSince = undefined;
		return connection.reading + connection.served <= this.#options.requestsPerConnection;
	}

	/** Records that the body of a request is read, or dropped, from now on. */
	startReading(key: Key, now: number): void {
		const connection = this.#connections.get(key);
		if (connection) {
			connection.served -= 1;
			connection.reading += 1;
			connection.progress = {bytes: connection.receivedBytes(), at: now};
		}
	}

	/** Records that the body of a request has arrived. */
	stopReading(key: Key): void {
		const connection = this.#connections.get(key);
		if (connection) {
			connection.reading -= 1;
			connection.served += 1;
		}
	}

	/** Records that a request was answered or refused, so that another one may be in progress; the rest of its body may still arrive. */
	releaseRequest(): void {
		this.#requests -= 1;
	}

	/** Records that a request has ended whose body is not read any more; `wasServed` if it was not refused before its body had arrived. */
	endRequest(key: Key, wasServed: boolean, now: number): void {
		const connection = this.#connections.get(key);
		if (!connection) {
			return;
		}

		connection.served -= 1;
		connection.hasCompleted ||= wasServed;
		connection.since = now;
		connection.bytesAtRest = connection.receivedBytes();
		connection.headSince = undefined;
		if (connection.reading === 0) {
			connection.dropping = undefined;
		}
	}

	/** Records that the rest of a body is read and dropped, as the request was refused. */
	startDropping(key: Key, now: number): void {
		const connection = this.#connections.get(key);
		if (connection) {
			connection.dropping = {since: now, bytes: connection.receivedBytes()};
		}
	}

	/**
	 * Returns the connections to close, since what is sent on them is late or too large.
	 *
	 * @param limits Limits from the configuration.
	 * @param now Monotonic time, in milliseconds.
	 */
	sweep(limits: SweepLimits, now: number): Array<LateConnection<Key>> {
		return [...this.#connections].flatMap(([key, connection]) => {
			const bytes = connection.receivedBytes();
			connection.progress = bytes > connection.progress.bytes ? {bytes, at: now} : connection.progress;
			const reason = connection.reading + connection.served > 0 ? checkDropping(connection, limits, now) : checkHead(connection, limits, now);
			return reason ? [{key, reason}] : [];
		});
	}

	/** Returns the connection that has been longest in the first state of the closing order that any of them is in. */
	#chooseVictim(now: number): Key | undefined {
		for (const isOfKind of closingOrder) {
			let oldest: {key: Key; since: number} | undefined;
			for (const [key, connection] of this.#connections) {
				if (isOfKind(connection, now) && connection.since < (oldest?.since ?? Number.POSITIVE_INFINITY)) {
					oldest = {key, since: connection.since};
				}
			}

			if (oldest) {
				return oldest.key;
			}
		}

		return undefined;
	}
}

function checkHead(connection: GuardedConnection, limits: SweepLimits, now: number): LateConnection<unknown>['reason'] | undefined {
	const bytes = connection.receivedBytes() - connection.bytesAtRest;
	if (bytes === 0) {
		const isUnused = !connection.hasCompleted && now - connection.since >= limits.idleMilliseconds + headGraceMilliseconds;
		return isUnused ? 'idle' : undefined;
	}

	connection.headSince ??= now;
	if (bytes > limits.headBytes + headGraceBytes) {
		return 'too-large';
	}

	return now - connection.headSince >= limits.headMilliseconds + headGraceMilliseconds ? 'timeout' : undefined;
}

function checkDropping({dropping, receivedBytes}: GuardedConnection, limits: SweepLimits, now: number): LateConnection<unknown>['reason'] | undefined {
	if (!dropping) {
		return undefined;
	}

	if (receivedBytes() - dropping.bytes > Math.max(dropped.bytes, limits.bodyBytes * dropped.bodies)) {
		return 'too-large';
	}

	return now - dropping.since >= limits.idleMilliseconds ? 'timeout' : undefined;
}
