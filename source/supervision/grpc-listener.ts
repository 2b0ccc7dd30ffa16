/**
 * Listens for connections to a gRPC server, so many at a time.
 *
 * @module
 */
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {ServerCredentials, type Server} from '@grpc/grpc-js';
import {PeerGuard} from '../intake/peer-guard.ts';
import {splitAddress} from './listen.ts';

/** Options of {@linkcode listenForGrpc}. */
export type ListenForGrpcOptions = {
	/** IP address and port to listen on. */
	address: string;
	/** Connections at a time; for a further one, that is closed from which nothing was received for longest. */
	connections: number;
	/** Returns monotonic time, in milliseconds. Default that of the process. */
	clock?: () => number;
};

/**
 * Listens on an address.
 *
 * @param server The server, with its services.
 * @param options Address, and the number of connections.
 * @returns Stops the server and closes its connections.
 * @throws {Error} If it cannot listen on the address.
 */
export async function listenForGrpc(server: Server, {address, connections, clock = () => performance.now()}: ListenForGrpcOptions): Promise<() => void> {
	const injector = server.createConnectionInjector(ServerCredentials.createInsecure());
	const guard = new PeerGuard<Socket>(connections);
	const listener = createServer({noDelay: true}, socket => {
		const victim = guard.open(socket, () => socket.bytesRead, clock());
		victim?.destroy();
		socket.once('close', () => {
			guard.close(socket);
		}).on('error', () => {
			// The connection closes; the session on it reports why.
		});
		injector.injectConnection(socket);
	});
	const {host, port} = splitAddress(address);
	listener.listen(port, host);
	await once(listener, 'listening');
	return () => {
		listener.close();
		injector.destroy();
		server.forceShutdown();
	};
}
