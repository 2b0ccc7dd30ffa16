/**
 * Sends one request once, on a connection of its own, and tells whether a byte of it may have left.
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
	readAnswer, type ServiceAnswer, type ServiceFailure, type ServiceRequest,
} from './service-message.ts';

/**
 * Opens a connection on which nothing is sent yet.
 *
 * @param address `address:port` of the endpoint.
 * @param milliseconds Time for opening it.
 * @returns The open connection, or why there is none.
 * @example
 * ```ts
 * const socket = await openSingleConnection('127.0.0.1:9000', 1000);
 * ```
 */
export async function openSingleConnection(address: string, milliseconds: number): Promise<Result<Socket, string>> {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = connect({host: hostname.replaceAll(/[\[\]]/gv, ''), port: port === '' ? 80 : Number(port), noDelay: true});
	socket.on('error', () => {
		socket.destroy();
	});
	try {
		await once(socket, 'connect', {signal: AbortSignal.timeout(Math.max(1, Math.ceil(milliseconds)))});
		return ok(socket);
	} catch (error) {
		socket.destroy();
		return err(String(error));
	}
}

/**
 * Sends a request on an open connection; whatever happens, it is never sent a second time.
 *
 * @param socket Connection of {@linkcode openSingleConnection}; it is closed at the end of the answer.
 * @param request The request.
 * @param signal Ends the wait for the answer.
 * @returns The answer, or a failure that tells whether a byte may have left.
 * @example
 * ```ts
 * const answer = await sendOnce(socket, request, AbortSignal.timeout(10_000));
 * ```
 */
export async function sendOnce(socket: Socket, request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceAnswer, ServiceFailure>> {
	if (socket.destroyed || !socket.writable || signal.aborted) {
		socket.destroy();
		return err({sent: false, message: 'the connection closed before anything was sent'});
	}

	const client = clientOf(socket);
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
		return ok(await readAnswer(response, destroy));
	} catch (error) {
		destroy();
		return err({sent: true, message: String(error)});
	}
}

/** Creates a client whose only connection is the one given: a second one is refused, so nothing can be sent again. */
function clientOf(socket: Socket): Client {
	let given = false;
	return new Client(`http://${socket.remoteAddress?.includes(':') ? `[${socket.remoteAddress}]` : socket.remoteAddress}:${socket.remotePort}`, {
		pipelining: 1,
		headersTimeout: 0,
		bodyTimeout: 0,
		connect(_options, callback) {
			if (given) {
				callback(new Error('the single connection is closed'), null);
				return;
			}

			given = true;
			// The client only goes on when it is called back later.
			queueMicrotask(() => {
				callback(null, socket);
			});
		},
	});
}
