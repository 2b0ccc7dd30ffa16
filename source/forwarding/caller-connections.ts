/**
 * Closes callers' connections, and records who closed them and why.
 *
 * @module
 */
import {type Server, type ServerResponse} from 'node:http';
import {type CallerSocket} from '../intake/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ClosingReason} from './closing-reason.ts';

/** Options of {@linkcode CallerConnections}. */
export type CallerConnectionsOptions = {
	logger: Logger;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
	/** Counts a connection that was closed before a response was complete, or by the gateway between two requests. */
	count: (reason: ClosingReason) => void;
};

/** A request whose response is watched. */
export type WatchedRequest = {
	/** Identifier of the request in logs. */
	requestName: string;
	/** Monotonic time at which it arrived, in milliseconds. */
	arrivedAt: number;
};

type Closing = {reason: ClosingReason; detail: string | undefined};

type Connection = {
	/** Why it is being closed; the first reason counts. */
	closing: Closing | undefined;
	/** Whether its closing was counted. */
	isCounted: boolean;
	/** Responses that are not closed yet, in order of their requests, with what is called once they are or their connection is. */
	readonly responses: Map<ServerResponse, () => void>;
	/** Called each time a response has been closed. */
	onResponseClosed?: () => void;
};

/** What becomes of a response. */
export type WatchedResponse = {
	/** Aborts with the reason if the connection closes before the response is complete. */
	callerDisconnected: AbortSignal;
	/** Resolves once all bytes of the response have been handed to the operating system, or its connection has closed. */
	delivered: Promise<void>;
};

/**
 * Records why each caller's connection is closed. All places of a gateway that close one do so here.
 *
 * @example
 * ```ts
 * const {callerDisconnected, delivered} = connections.watch(response, {requestName, arrivedAt});
 * connections.close(response, 'broken-off', 'read ECONNRESET');
 * callerDisconnected.reason; // 'broken-off', once the connection has closed
 * ```
 */
export class CallerConnections {
	readonly #options: CallerConnectionsOptions;
	readonly #connections = new WeakMap<CallerSocket, Connection>();
	/** Connections that are open. */
	readonly #open = new Set<CallerSocket>();

	constructor(options: CallerConnectionsOptions) {
		this.#options = options;
	}

	/** Follows a connection until it closes: the end that the caller sends is its own leaving. */
	follow(socket: CallerSocket): void {
		if (this.#connections.has(socket)) {
			return;
		}

		this.#connections.set(socket, {closing: undefined, isCounted: false, responses: new Map()});
		this.#open.add(socket);
		socket.once('end', () => {
			this.#recordReason(socket, 'caller');
		});
		socket.once('close', () => {
			this.#open.delete(socket);
			this.#recordReason(socket, 'unknown');
			for (const end of this.#connections.get(socket)!.responses.values()) {
				end();
			}
		});
	}

	/**
	 * Watches a response until it or its connection closes: one that waits behind others on its connection does not itself learn of the close.
	 *
	 * @param response Response to the caller.
	 * @param watched Its request.
	 */
	watch(response: ServerResponse, {requestName, arrivedAt}: WatchedRequest): WatchedResponse {
		const controller = new AbortController();
		const {socket} = response.req;
		this.follow(socket);
		const connection = this.#connections.get(socket)!;
		const bytesBefore = socket.bytesWritten;
		const delivered = new Promise<void>(resolve => {
			const end = () => {
				connection.responses.delete(response);
				resolve();
				connection.onResponseClosed?.();
				if (controller.signal.aborted || response.writableFinished) {
					return;
				}

				const {reason, detail} = connection.closing ?? {reason: 'unknown'};
				this.#countOnce(connection, reason);
				this.#options.logger.info('caller connection closed', {
					request: requestName,
					reason,
					detail,
					begun: response.headersSent,
					ended: response.writableEnded,
					milliseconds: Math.round(this.#options.clock() - arrivedAt),
					bytes: socket.bytesWritten - bytesBefore,
				});
				controller.abort(reason);
			};

			connection.responses.set(response, end);
			response.once('close', end);
		});
		return {callerDisconnected: controller.signal, delivered};
	}

	/**
	 * Closes the connection of a response.
	 *
	 * @param response Response to the caller.
	 * @param reason Why.
	 * @param detail What led to it, for the log.
	 * @returns The reason that counts: another one if the connection was being closed before.
	 */
	close(response: ServerResponse, reason: ClosingReason, detail?: string): ClosingReason {
		const {socket} = response.req;
		this.follow(socket);
		const first = response.writableFinished ? reason : this.#recordReason(socket, reason, detail);
		response.destroy();
		return first;
	}

	/**
	 * Closes a connection, whether or not a request is in progress on it.
	 *
	 * @param socket The caller's connection.
	 * @param reason Why.
	 * @param error What led to it.
	 */
	closeSocket(socket: CallerSocket, reason: ClosingReason, error?: Error): void {
		this.follow(socket);
		this.#recordReason(socket, reason, error?.message);
		this.#recordWithoutRequest(socket);
		socket.destroy(error);
	}

	/**
	 * Sends a last response and closes a connection because of what its caller has sent. If no request is in progress on it, the caller may still
	 * read the response.
	 *
	 * @param socket The caller's connection.
	 * @param response Bytes of the response.
	 * @param reason Why.
	 * @param error What led to it.
	 */
	refuseSocket(socket: CallerSocket, response: string, reason: ClosingReason, error: Error): void {
		const isWritable = socket.writable;
		// A response that has begun must not be followed by another one.
		if (isWritable && !this.currentResponse(socket)?.headersSent) {
			socket.write(response);
		}

		if (isWritable && !this.currentResponse(socket)) {
			this.follow(socket);
			this.#recordReason(socket, reason, error.message);
			this.#recordWithoutRequest(socket);
			socket.destroySoon();
		} else {
			this.closeSocket(socket, reason, error);
		}
	}

	/** Returns why a response's connection is being closed; `unknown` if nothing has closed it yet. */
	reasonOf(response: ServerResponse): ClosingReason {
		return this.#connections.get(response.req.socket)?.closing?.reason ?? 'unknown';
	}

	/** Returns the response that is sent on a connection at present, if there is one. */
	currentResponse(socket: CallerSocket): ServerResponse | undefined {
		const [response] = this.#connections.get(socket)?.responses.keys() ?? [];
		return response;
	}

	/**
	 * Calls back once all requests that have arrived whole on a connection are answered: at once, if there are none.
	 *
	 * @param socket The caller's connection.
	 * @param callback Called once.
	 */
	afterWholeRequests(socket: CallerSocket, callback: () => void): void {
		this.follow(socket);
		const connection = this.#connections.get(socket)!;
		const callOnceAnswered = () => {
			if ([...connection.responses.keys()].some(({req}) => req.complete)) {
				return;
			}

			connection.onResponseClosed = undefined;
			callback();
		};

		connection.onResponseClosed = callOnceAnswered;
		callOnceAnswered();
	}

	/** Stops listening for new connections, and closes those without a request in progress. */
	stopListening(server: Server): void {
		server.close();
		server.closeIdleConnections();
		for (const socket of this.#open) {
			if (socket.destroyed && !this.#connections.get(socket)!.closing) {
				this.#recordReason(socket, 'stopped');
				this.#recordWithoutRequest(socket);
			}
		}
	}

	#recordReason(socket: CallerSocket, reason: ClosingReason, detail?: string): ClosingReason {
		const connection = this.#connections.get(socket)!;
		connection.closing ??= {reason, detail};
		return connection.closing.reason;
	}

	#countOnce(connection: Connection, reason: ClosingReason): void {
		if (!connection.isCounted) {
			connection.isCounted = true;
			this.#options.count(reason);
		}
	}

	/** Records the closing of a connection on which no response is watched; a caller's own leaving then is no event. */
	#recordWithoutRequest(socket: CallerSocket): void {
		const connection = this.#connections.get(socket)!;
		const {closing, responses} = connection;
		if (!closing || responses.size > 0 || closing.reason === 'caller') {
			return;
		}

		this.#countOnce(connection, closing.reason);
		this.#options.logger.debug('caller connection closed without a request', {...closing, bytesRead: socket.bytesRead});
	}
}
