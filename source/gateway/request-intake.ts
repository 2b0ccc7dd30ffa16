/**
 * Takes in one request of a caller: its place on its connection, and its body.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';
import {type Result} from 'neverthrow';
import {
	readRequestBody, type BodyFailure, type ReadRequestBodyOptions, type RequestBody,
} from '../intake/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/** Components that an intake uses. */
export type IntakeParts = Pick<GatewayParts, 'bodies' | 'connectionGuard' | 'clock'>;

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
	readonly #parts: IntakeParts;
	#body: RequestBody | undefined;

	constructor(request: IncomingMessage, parts: IntakeParts) {
		this.#request = request;
		this.#parts = parts;
		this.isAllowed = parts.connectionGuard.startRequest(request.socket, parts.clock());
		this.isOverLimit = parts.connectionGuard.hasTooManyRequests;
	}

	/** Reads the body; it is held until the request ends. */
	async readBody(options: Omit<ReadRequestBodyOptions, 'account' | 'clock'>): Promise<Result<Uint8Array, BodyFailure>> {
		const {bodies: account, clock, connectionGuard} = this.#parts;
		const {socket} = this.#request;
		connectionGuard.startReading(socket, clock());
		const read = await readRequestBody(this.#request, {...options, account, clock});
		connectionGuard.stopReading(socket);
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
		const {connectionGuard, clock} = this.#parts;
		const {socket} = this.#request;
		const wasServed = this.#body !== undefined;
		this.#body?.held.release();
		connectionGuard.releaseRequest();
		void Promise.all([delivered, this.#dropRest()]).then(() => {
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

		connectionGuard.startReading(socket, clock());
		connectionGuard.startDropping(socket, clock());
		request.resume();
		await new Promise<void>(resolve => {
			request.once('end', resolve).once('close', resolve);
		});
		connectionGuard.stopReading(socket);
	}
}
