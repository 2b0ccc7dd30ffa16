/**
 * Short HTTP calls with a deadline over kept connections: to the store and to endpoints' reports.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest, type Agent, type IncomingHttpHeaders} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import {neverConnected} from '../supervision/connect-errors.ts';

/** Answer of a call. */
export type HttpAnswer = {status: number; headers: IncomingHttpHeaders; body: Uint8Array};

/** Why a call has no answer; `sent` tells whether the other side may have acted on it. */
export type HttpFailure = {sent: boolean; message: string};

/** Options of {@linkcode httpCall}. */
export type HttpCallOptions = {
	/** Keeps the connections. */
	agent: Agent;
	/** IP number and port. */
	address: string;
	method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path and query. */
	path: string;
	/** Content of the request, sent as JSON. Default none. */
	json?: unknown;
	/** Time without a byte of the answer after which the call is given up, in milliseconds; a large answer over a slow link may take longer. */
	timeoutMilliseconds: number;
	/** Bytes of an answer after which the call is given up. Default 16,777,216. */
	largestBytes?: number;
	/** Ends the call early. */
	signal?: AbortSignal;
};

/**
 * Makes one call and reads its whole answer.
 *
 * @param options Where to, what, and by when.
 * @example
 * ```ts
 * const answer = await httpCall({agent, address: '10.0.0.1:80', path: '/health', timeoutMilliseconds: 500});
 * ```
 */
export async function httpCall(options: HttpCallOptions): Promise<Result<HttpAnswer, HttpFailure>> {
	const {agent, address, method = 'GET', path, json, timeoutMilliseconds, largestBytes = 16_777_216, signal} = options;
	const [hostname, port] = address.split(':');
	const body = json === undefined ? undefined : Buffer.from(JSON.stringify(json));
	const headers = body ? {'content-type': 'application/json', 'content-length': String(body.length)} : {};
	return new Promise(resolve => {
		const request = sendRequest({
			agent, hostname, port, method, path, headers, signal,
		});
		const timer = setTimeout(() => {
			request.destroy(new Error(`no answer within ${timeoutMilliseconds} ms`));
		}, timeoutMilliseconds);
		const settle = (result: Result<HttpAnswer, HttpFailure>) => {
			clearTimeout(timer);
			resolve(result);
		};

		request.on('error', error => {
			settle(err({sent: !neverConnected(error), message: error.message}));
		});
		request.on('response', response => {
			const chunks: Uint8Array[] = [];
			let bytes = 0;
			response.on('data', (chunk: Uint8Array) => {
				timer.refresh();
				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes > largestBytes) {
					request.destroy(new Error(`the answer is longer than ${largestBytes} bytes`));
				}
			});
			response.on('end', () => {
				settle(response.complete
					? ok({status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks)})
					: err({sent: true, message: 'the answer was cut off'}));
			});
			response.on('error', error => {
				settle(err({sent: true, message: error.message}));
			});
		});
		request.end(body);
	});
}

/**
 * Parses a JSON body.
 *
 * @param body The bytes.
 * @returns The content, or `undefined` where it is not JSON.
 */
export function parseJson(body: Uint8Array | string): unknown {
	try {
		return JSON.parse(typeof body === 'string' ? body : new TextDecoder().decode(body));
	} catch {
		return undefined;
	}
}
