/**
 * Short HTTP calls with a timeout over keep-alive connections: to the store and for endpoints' reports.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest, type Agent, type IncomingHttpHeaders} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import {isConnectError} from '../supervision/connect-errors.ts';
import {startIoTimeout} from '../supervision/io-timeout.ts';

/** Response to a call. */
export type HttpResponse = {status: number; headers: IncomingHttpHeaders; body: Uint8Array};

/** Reason why a call got no response. */
export type HttpFailure = {
	/** Whether the server may have acted on the call. */
	sent: boolean;
	/** Whether a connection was established. */
	connected: boolean;
	/** Whether it was sent on a connection that was used before, which may have been closed or forgotten meanwhile. */
	reused: boolean;
	message: string;
};

/** Options of {@linkcode httpCall}. */
export type HttpCallOptions = {
	/** Agent that pools the connections. */
	agent: Agent;
	/** IP address and port. */
	address: string;
	method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path and query. */
	path: string;
	/** Request body, sent as JSON. Default none. */
	json?: unknown;
	/** Time without a received byte after which the call is aborted, in milliseconds; a large response over a slow link may take longer in total. */
	timeoutMilliseconds: number;
	/** Largest accepted response body, in bytes; a larger one aborts the call. Default 16,777,216. */
	maximumBytes?: number;
	/** Aborts the call. */
	signal?: AbortSignal;
};

/**
 * Makes one call and reads the whole response.
 *
 * @param options Address, request and timeout.
 * @example
 * ```ts
 * const response = await httpCall({agent, address: '10.0.0.1:80', path: '/health', timeoutMilliseconds: 500});
 * ```
 */
export async function httpCall(options: HttpCallOptions): Promise<Result<HttpResponse, HttpFailure>> {
	const {agent, address, method = 'GET', path, json, timeoutMilliseconds, maximumBytes = 16_777_216, signal} = options;
	const [hostname, port] = address.split(':');
	const body = json === undefined ? undefined : Buffer.from(JSON.stringify(json));
	const headers = body ? {'content-type': 'application/json', 'content-length': String(body.length)} : {};
	return new Promise(resolve => {
		let connected = false;
		let hasResponse = false;
		const request = sendRequest({
			agent, hostname, port, method, path, headers, signal,
		});
		request.on('socket', socket => {
			if (!socket.connecting) {
				connected = true;
				return;
			}

			socket.once('connect', () => {
				connected = true;
			});
		});
		const timeout = startIoTimeout(timeoutMilliseconds, () => {
			request.destroy(new Error(`no response within ${timeoutMilliseconds} ms`));
		});
		const settle = (result: Result<HttpResponse, HttpFailure>) => {
			timeout.clear();
			resolve(result);
		};

		request.on('error', error => {
			settle(err({
				sent: !isConnectError(error), connected, reused: request.reusedSocket, message: error.message,
			}));
		});
		// A switch to another protocol ends the connection without an error or a response.
		request.on('close', () => {
			if (!hasResponse) {
				settle(err({
					sent: true, connected, reused: request.reusedSocket, message: 'the connection was closed without a response',
				}));
			}
		});
		request.on('response', response => {
			hasResponse = true;
			const chunks: Uint8Array[] = [];
			let bytes = 0;
			response.on('data', (chunk: Uint8Array) => {
				timeout.refresh();
				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes > maximumBytes) {
					request.destroy(new Error(`the response is longer than ${maximumBytes} bytes`));
				}
			});
			response.on('end', () => {
				settle(response.complete
					? ok({status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks)})
					: err({
						sent: true, connected, reused: request.reusedSocket, message: 'the response is incomplete',
					}));
			});
			response.on('error', error => {
				settle(err({
					sent: true, connected, reused: request.reusedSocket, message: error.message,
				}));
			});
		});
		request.end(body);
	});
}

/**
 * Parses a JSON body.
 *
 * @param body Body as bytes or text.
 * @returns The parsed value, or `undefined` if the body is not valid JSON.
 */
export function parseJson(body: Uint8Array | string): unknown {
	try {
		return JSON.parse(typeof body === 'string' ? body : new TextDecoder().decode(body));
	} catch {
		return undefined;
	}
}
