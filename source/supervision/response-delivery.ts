/**
 * Tells when a response no longer needs its connection.
 *
 * @module
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** What is called when a connection closes, of each response on it that has not been delivered. */
const undelivered = new WeakMap<Socket, Set<() => void>>();

/**
 * Resolves once all bytes of a response have been handed to the operating system, or its connection has closed.
 *
 * A response that waits behind others on its connection does not itself learn that the connection has closed, so that is watched too.
 *
 * @param request The request.
 * @param response Its response.
 * @example
 * ```ts
 * await responseDelivery(request, response);
 * ```
 */
export async function responseDelivery({socket}: IncomingMessage, response: ServerResponse): Promise<void> {
	return new Promise(resolve => {
		const onConnection = undelivered.get(socket) ?? watchConnection(socket);
		const end = () => {
			onConnection.delete(end);
			resolve();
		};

		onConnection.add(end);
		response.once('close', end);
	});
}

/** Listens once for the end of a connection, whatever the number of requests on it. */
function watchConnection(socket: Socket): Set<() => void> {
	const onConnection = new Set<() => void>();
	undelivered.set(socket, onConnection);
	socket.once('close', () => {
		for (const end of onConnection) {
			end();
		}
	});
	return onConnection;
}
