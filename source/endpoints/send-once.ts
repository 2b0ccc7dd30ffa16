/**
 * Sends a request exactly once, on a dedicated connection, and reports whether any byte of it may have been sent.
 *
 * @module
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	err, ok, type Result,
} from 'neverthrow';
import {Client} from 'undici';
import {
	readResponse, type ServiceResponse, type ServiceFailure, type ServiceRequest,
} from './service-message.ts';

/**
 * Opens a connection without sending anything on it.
 *
 * @param address `address:port` of the endpoint.
 * @param timeoutMilliseconds Timeout for opening the connection, in milliseconds.
 * @returns The open connection, or the reason for the failure.
 * @example
 * ```ts
 * const socket = await openSingleUseConnection('127.0.0.1:9000', 1000);
 * ```
 */
export async function openSingleUseConnection(address: string, timeoutMilliseconds: number): Promise<Result<Socket, string>> {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = connect({host: hostname.replaceAll(/[\[\]]/gv, ''), port: port === '' ? 80 : Number(port), noDelay: true});
	socket.on('error', () => {
		socket.destroy();
	});
	try {
		await once(socket, 'connect', {signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMilliseconds)))});
		return ok(socket);
	} catch (error) {
		socket.destroy();
		return err(String(error));
	}
}

/**
 * Sends a request on an open connection; it is never sent a second time, even after a failure.
 *
 * @param socket Connection of {@linkcode openSingleUseConnection}; it is closed at the end of the response.
 * @param request The request.
 * @param signal Aborts the wait for the response.
 * @returns The response, or a failure that reports whether any byte may have been sent.
 * @example
 * ```ts
 * const response = await sendOnce(socket, request, AbortSignal.timeout(10_000));
 * ```
 */
export async function sendOnce(socket: Socket, request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceResponse, ServiceFailure>> {
	if (socket.destroyed || !socket.writable || signal.aborted) {
		socket.destroy();
		return err({sent: false, message: 'the connection closed before anything was sent'});
	}

	const client = createSingleUseClient(socket);
	const destroy = () => {
		void client.destroy();
		socket.destroy();
	};

	try {
		const response = await client.request({
			method: request.method,
			path: request.path,
			headers: request.headers,
			body: request.body.length > 0 ? request.body : undefined,
			reset: true,
			signal,
		});
		return ok(await readResponse(response, destroy));
	} catch (error) {
		destroy();
		return err({sent: true, message: String(error)});
	}
}

/** Creates a client that uses only the given connection: opening a second one fails, so that the client cannot resend a request. */
function createSingleUseClient(socket: Socket): Client {
	let connected = false;
	return new Client(`http://${socket.remoteAddress?.includes(':') ? `[${socket.remoteAddress}]` : socket.remoteAddress}:${socket.remotePort}`, {
		pipelining: 1,
		headersTimeout: 0,
		bodyTimeout: 0,
		connect(_options, callback) {
			if (connected) {
				callback(new Error('the single connection is closed'), null);
				return;
			}

			connected = true;
			// The client only proceeds if the callback is called asynchronously.
			queueMicrotask(() => {
				callback(null, socket);
			});
		},
	});
}
