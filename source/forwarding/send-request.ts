/**
 * Sends one request to one endpoint.
 *
 * @module
 */
import {request as startRequest, type Agent, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {decodeAnswerTerms, type AnswerTerms} from '../platform/mod.ts';
import {neverConnected} from '../supervision/connect-errors.ts';

/** Options of {@linkcode sendRequest}. */
export type SendRequestOptions = {
	agent: Agent;
	/** IP number and port of the endpoint. */
	address: string;
	method: string;
	/** Path and query, unchanged. */
	target: string;
	/** Names and values by turns. */
	rawHeaders: readonly string[];
	body: Uint8Array;
	/** The caller's attempt, which the answer must name; on a new connection it may leave the name out. */
	attempt: string | undefined;
	/** Time for a connection to come about, in milliseconds. */
	connectMilliseconds: number;
	/** Ends the request: its connection is closed. */
	signal: AbortSignal;
};

/** Answer of an endpoint, whose body is still to be read. */
export type EndpointAnswer = {
	status: number;
	rawHeaders: readonly string[];
	terms: AnswerTerms;
	/** Reads the body; throws when it breaks off. */
	body(): AsyncGenerator<Uint8Array, void>;
	/** Closes the connection. */
	abandon(): void;
};

/** How sending ended: an answer has begun, or nothing was sent, or the endpoint may have run the request without an answer. */
export type SendOutcome
	= | {kind: 'answer'; answer: EndpointAnswer}
		| {kind: 'not-sent'; message: string}
		| {kind: 'lost'; message: string};

/** Thrown when an endpoint's answer ends before it is whole. */
export class BrokenAnswerError extends Error {
	override name = 'BrokenAnswerError';
}

class ConnectTimeoutError extends Error {
	override name = 'ConnectTimeoutError';
}

const methodsWithBody = new Set(['POST', 'PUT', 'PATCH']);

/**
 * Sends a request and waits until its answer begins.
 *
 * @param options Endpoint and request.
 * @returns How it ended; never rejects.
 */
export async function sendRequest(options: SendRequestOptions): Promise<SendOutcome> {
	const {agent, address, method, target, rawHeaders, body, connectMilliseconds, signal, attempt} = options;
	if (signal.aborted) {
		return {kind: 'not-sent', message: 'ended before it was sent'};
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
			const onEnd = () => {
				failure ??= wasReset(socket) ? new Error('the connection was reset') : undefined;
			};

			socket.prependListener('end', onEnd);
			request.once('close', () => {
				socket.off('end', onEnd);
			});
			if (!socket.connecting) {
				connected = true;
				return;
			}

			const timer = setTimeout(() => {
				request.destroy(new ConnectTimeoutError(`no connection within ${connectMilliseconds} ms`));
			}, connectMilliseconds);
			socket.once('connect', () => {
				connected = true;
				clearTimeout(timer);
			});
			socket.once('close', () => {
				clearTimeout(timer);
			});
		});
		request.on('error', error => {
			failure ??= error;
			resolve({kind: connected && !neverConnected(error) ? 'lost' : 'not-sent', message: error.message});
		});
		request.on('response', response => {
			const terms = decodeAnswerTerms(response.statusCode ?? 0, response.headers);
			if (attempt !== undefined && !belongsTo(attempt, terms.attempt, request.reusedSocket)) {
				request.destroy();
				resolve({kind: 'lost', message: terms.attempt === undefined ? 'the answer does not say to which request it belongs' : 'the answer belongs to another request'});
				return;
			}

			resolve({
				kind: 'answer',
				answer: {
					status: response.statusCode ?? 0,
					rawHeaders: response.rawHeaders,
					terms,
					body: () => readBody(response, () => failure),
					abandon() {
						request.destroy();
					},
				},
			});
		});
		request.end(body);
	});
}

/** Whether an answer is the one to an attempt; on a connection that was used before, only its name tells it from a late copy of another. */
function belongsTo(attempt: string, named: string | undefined, isReused: boolean): boolean {
	return named === attempt || (named === undefined && !isReused);
}

/**
 * Whether a connection whose end was read had in fact been reset.
 *
 * The event loop reports the end of a connection for a reset that comes together with the last bytes. A connection that was ended
 * still has a peer, and one that was reset has none.
 */
function wasReset(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}

/**
 * Reads a body to its end. A body without a length ends with its connection: where that was reset, it is not whole.
 *
 * @throws {BrokenAnswerError} When the body is not whole.
 */
async function * readBody(response: IncomingMessage, failureOf: () => Error | undefined): AsyncGenerator<Uint8Array, void> {
	const framed = response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			yield chunk;
		}
	} catch (error) {
		throw new BrokenAnswerError(error instanceof Error ? error.message : String(error));
	}

	const failure = failureOf();
	if (!response.complete || (!framed && failure)) {
		throw new BrokenAnswerError(failure?.message ?? 'the answer is not whole');
	}
}
