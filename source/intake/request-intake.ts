/**
 * Takes in one request of a caller: its place on its connection, its head and its body.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';
import {type Result} from 'neverthrow';
import {type CallerSocket} from './caller-connection.ts';
import {type CallerMemory} from './caller-memory.ts';
import {type ConnectionGuard} from './connection-guard.ts';
import {
	readRequestBody, type BodyFailure, type ReadRequestBodyOptions, type RequestBody,
} from './read-request-body.ts';

/** Components that the intake of a request uses. */
export type RequestIntakeParts = {
	memory: CallerMemory<CallerSocket>;
	connectionGuard: ConnectionGuard<CallerSocket>;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

/**
 * Accounts for one request from its head until its response is delivered and its body has arrived or is dropped.
 *
 * @example
 * ```ts
 * const intake = new RequestIntake(request, parts);
 * const body = await intake.readBody({maximumBytes, pauseMilliseconds, until});
 * intake.end(delivered);
 * ```
 */
export class RequestIntake {
	/** Whether its connection may have one more request in progress. */
	readonly isAllowed: boolean;
	/** Whether too many requests are in progress on all connections for this one to be served. */
	readonly isOverLimit: boolean;
	readonly #request: IncomingMessage;
	readonly #parts: RequestIntakeParts;
	readonly #headBytes: number;
	#body: RequestBody | undefined;

	constructor(request: IncomingMessage, parts: RequestIntakeParts) {
		this.#request = request;
		this.#parts = parts;
		this.#headBytes = headBytes(request);
		parts.memory.heads.startRequest(request.socket, this.#headBytes);
		this.isAllowed = parts.connectionGuard.startRequest(request.socket, parts.clock());
		this.isOverLimit = parts.connectionGuard.hasTooManyRequests;
	}

	/** Reads the body; it is held until the request ends. */
	async readBody(options: Omit<ReadRequestBodyOptions, 'account' | 'clock'>): Promise<Result<Uint8Array, BodyFailure>> {
		const {memory, clock} = this.#parts;
		this.#startReading();
		const read = await readRequestBody(this.#request, {...options, account: memory.bodies, clock});
		this.#stopReading();
		return read.map(body => {
			this.#body = body;
			return body.bytes;
		});
	}

	/**
	 * Ends the request. What was not read of its body is dropped; its connection counts as in use until that has arrived.
	 *
	 * @param delivered Resolves once the response is delivered or the connection has closed.
	 */
	end(delivered: Promise<void>): void {
		const {connectionGuard, memory, clock} = this.#parts;
		const {socket} = this.#request;
		const wasServed = this.#body !== undefined;
		this.#body?.held.release();
		connectionGuard.releaseRequest();
		void Promise.all([delivered, this.#dropRest()]).then(() => {
			memory.heads.endRequest(socket, this.#headBytes);
			connectionGuard.endRequest(socket, wasServed, clock());
		});
	}

	/** Drops what was not read of the body; resolves once it has arrived, or will not any more. */
	async #dropRest(): Promise<void> {
		const {connectionGuard, clock} = this.#parts;
		const request = this.#request;
		const {socket} = request;
		if (request.complete) {
			request.resume();
		}

		if (request.complete || request.destroyed) {
			return;
		}

		this.#startReading();
		connectionGuard.startDropping(socket, clock());
		request.resume();
		await new Promise<void>(resolve => {
			request.once('end', resolve).once('close', resolve);
		});
		this.#stopReading();
	}

	#startReading(): void {
		const {connectionGuard, memory, clock} = this.#parts;
		connectionGuard.startReading(this.#request.socket, clock());
		memory.heads.startBody(this.#request.socket);
	}

	#stopReading(): void {
		const {connectionGuard, memory} = this.#parts;
		connectionGuard.stopReading(this.#request.socket);
		memory.heads.endBody(this.#request.socket);
	}
}

/** Bytes of the head of a request, without separators. */
function headBytes({rawHeaders, method = '', url = ''}: IncomingMessage): number {
	let bytes = method.length + url.length;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}
