/**
 * Sends one request to one endpoint.
 *
 * @module
 */
import {request as startRequest, type Agent, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {decodeResponseHeaders, type ResponseTerms} from '../platform/mod.ts';
import {isConnectError} from '../supervision/connect-errors.ts';
import {startIoTimeout} from '../supervision/io-timeout.ts';

/** Options of {@linkcode sendRequest}. */
export type SendRequestOptions = {
	agent: Agent;
	/** IP address and port of the endpoint. */
	address: string;
	method: string;
	/** Request target: path and query, unchanged. */
	target: string;
	/** Alternating header names and values. */
	rawHeaders: readonly string[];
	body: Uint8Array;
	/** Id of the caller's attempt. The response must echo it; on a new connection, the echo may be missing. */
	attemptId: string | undefined;
	/** Connection timeout, in milliseconds. */
	connectTimeoutMilliseconds: number;
	/** Aborts the request by closing its connection. */
	signal: AbortSignal;
};

/** Response of an endpoint whose body has not been read yet. */
export type EndpointResponse = {
	status: number;
	rawHeaders: readonly string[];
	terms: ResponseTerms;
	/** Whether the body has a length or chunks, so that its end is known; otherwise it ends with its connection. */
	isFramed: boolean;
	/** Reads the body; throws an {@linkcode IncompleteResponseError} if it breaks off. */
	body(): AsyncGenerator<Uint8Array, void>;
	/** Closes the connection. */
	cancel(): void;
};

/** Outcome of sending: a response has started, or nothing was sent, or the endpoint may have run the request but its response is lost. */
export type SendOutcome
	= | {kind: 'response'; response: EndpointResponse}
		| {kind: 'not-sent'; message: string}
		| {kind: 'lost'; message: string};

/** Thrown when an endpoint's response ends before it is complete. */
export class IncompleteResponseError extends Error {
	override name = 'IncompleteResponseError';
}

class ConnectTimeoutError extends Error {
	override name = 'ConnectTimeoutError';
}

class TooManyInterimResponsesError extends Error {
	override name = 'TooManyInterimResponsesError';
}

/** Number of interim (1xx) responses that an endpoint may send before its response; each costs an event, and a sound endpoint sends a few. */
const maximumInterimResponses = 100;

/** Lowest and highest status that a response may have; interim responses have lower ones. */
const validStatuses = {lowest: 200, highest: 599};

const methodsWithBody = new Set(['POST', 'PUT', 'PATCH']);

/**
 * Sends a request and waits until its response starts.
 *
 * @param options Endpoint and request.
 * @returns Outcome of sending; never rejects.
 */
export async function sendRequest(options: SendRequestOptions): Promise<SendOutcome> {
	const {agent, address, method, target, rawHeaders, body, connectTimeoutMilliseconds, signal, attemptId} = options;
	if (signal.aborted) {
		return {kind: 'not-sent', message: 'aborted before it was sent'};
	}

	const [hostname, port] = address.split(':');
	const length = body.length > 0 || methodsWithBody.has(method) ? ['Content-Length', String(body.length)] : [];
	return new Promise(resolve => {
		let connected = false;
		let failure: Error | undefined;
		const request = startRequest({
			agent, hostname, port, method, path: target, headers: [...rawHeaders, ...length], signal,
		});
		request.on('socket', socket => {
			const onSocketEnd = () => {
				failure ??= wasReset(socket) ? new Error('the connection was reset') : undefined;
			};

			socket.prependListener('end', onSocketEnd);
			request.once('close', () => {
				socket.off('end', onSocketEnd);
			});
			if (!socket.connecting) {
				connected = true;
				return;
			}

			const timeout = startIoTimeout(connectTimeoutMilliseconds, () => {
				request.destroy(new ConnectTimeoutError(`no connection within ${connectTimeoutMilliseconds} ms`));
			});
			socket.once('connect', () => {
				connected = true;
				timeout.clear();
			});
			socket.once('close', () => {
				timeout.clear();
			});
		});
		let interimResponses = 0;
		request.on('information', () => {
			interimResponses += 1;
			if (interimResponses === maximumInterimResponses + 1) {
				request.destroy(new TooManyInterimResponsesError(`more than ${maximumInterimResponses} interim responses`));
			}
		});
		request.on('error', error => {
			failure ??= error;
			resolve({kind: connected && !isConnectError(error) ? 'lost' : 'not-sent', message: error.message});
		});
		// A switch to another protocol ends the connection without an error or a response.
		request.on('close', () => {
			resolve({kind: connected ? 'lost' : 'not-sent', message: 'the connection was closed without a response'});
		});
		request.on('response', response => {
			const status = response.statusCode ?? 0;
			if (status < validStatuses.lowest || status > validStatuses.highest) {
				request.destroy();
				resolve({kind: 'lost', message: `the response has the invalid status ${status}`});
				return;
			}

			const terms = decodeResponseHeaders(status, response.headers);
			if (attemptId !== undefined && !belongsToAttempt(attemptId, terms.attempt, request.reusedSocket)) {
				request.destroy();
				resolve({kind: 'lost', message: terms.attempt === undefined ? 'the response does not state to which request it belongs' : 'the response belongs to another request'});
				return;
			}

			const isFramed = response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
			resolve({
				kind: 'response',
				response: {
					status,
					rawHeaders: response.rawHeaders,
					terms,
					isFramed,
					body: () => readBody(response, isFramed, () => failure),
					cancel() {
						request.destroy();
					},
				},
			});
		});
		request.end(body);
	});
}

/** Whether a response belongs to an attempt; on a reused connection, only the echoed id distinguishes it from a late copy of another response. */
function belongsToAttempt(attemptId: string, echoedAttemptId: string | undefined, isReused: boolean): boolean {
	return echoedAttemptId === attemptId || (echoedAttemptId === undefined && !isReused);
}

/**
 * Returns whether a connection on which the end of the stream was read was in fact reset.
 *
 * For a reset that arrives together with the last bytes, the event loop reports a normal end of the stream. A connection that was ended
 * normally still has a peer address; one that was reset has none.
 */
function wasReset(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}

/**
 * Reads a body to its end. A body without a length ends with its connection and is incomplete if the connection was reset.
 *
 * @throws {IncompleteResponseError} If the body is incomplete.
 */
async function * readBody(response: IncomingMessage, isFramed: boolean, getFailure: () => Error | undefined): AsyncGenerator<Uint8Array, void> {
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			yield chunk;
		}
	} catch (error) {
		throw new IncompleteResponseError(error instanceof Error ? error.message : String(error));
	}

	const failure = getFailure();
	if (!response.complete || (!isFramed && failure)) {
		throw new IncompleteResponseError(failure?.message ?? 'the response is incomplete');
	}
}
