/**
 * Starts and stops HTTP servers.
 *
 * @module
 */
import {once} from 'node:events';
import {type Server} from 'node:http';

/**
 * Starts listening on an `address:port`.
 *
 * @param server The server.
 * @param address IP address and port.
 * @throws {Error} When the address cannot be listened on.
 * @example
 * ```ts
 * await listen(server, '127.0.0.1:8080');
 * ```
 */
export async function listen(server: Server, address: string): Promise<void> {
	const {host, port} = splitAddress(address);
	server.listen(port, host);
	await once(server, 'listening');
}

/**
 * Splits an `address:port`.
 *
 * @param address IP address and port.
 */
export function splitAddress(address: string): {host: string; port: number} {
	const {hostname, port} = new URL(`http://${address}`);
	return {host: hostname.replaceAll(/[\[\]]/gv, ''), port: Number(port === '' ? '80' : port)};
}

/**
 * Stops a server and closes all of its connections.
 *
 * @param server The server.
 * @example
 * ```ts
 * await close(server);
 * ```
 */
export async function close(server: Server): Promise<void> {
	server.close();
	server.closeAllConnections();
	if (server.listening) {
		await once(server, 'close');
	}
}
