/**
 * Closes callers' connections as Node's HTTP server does, and records why.
 *
 * @module
 */
import {STATUS_CODES, type Server} from 'node:http';
import {Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {closingReasonOfError, type CallerConnections} from '../forwarding/mod.ts';
import {CallerConnection, type CallerSocket} from '../intake/mod.ts';

/** Statuses of the responses to errors on a connection; those of Node's HTTP server. */
const statuses: Record<string, number> = {
	HPE_HEADER_OVERFLOW: 431,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
	ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Status of the response to any other error. */
const badRequestStatus = 400;

/**
 * Records why a server's connections are closed.
 *
 * @param server Server for callers; it does not listen yet.
 * @param connections Records the reasons.
 */
export function followCallers(server: Server, connections: CallerConnections): void {
	server.on('connection', socket => {
		connections.follow(socket);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
		if (!(socket instanceof Socket || socket instanceof CallerConnection)) {
			socket.destroy(error);
			return;
		}

		// A response that has begun must not be followed by another one.
		if (socket.writable && !connections.currentResponse(socket)?.headersSent) {
			socket.write(errorResponse(statuses[error.code ?? ''] ?? badRequestStatus));
		}

		connections.closeSocket(socket, closingReasonOfError(error.code), error);
	});
	server.on('timeout', (socket: CallerSocket) => {
		connections.closeSocket(socket, connections.currentResponse(socket) ? 'timeout' : 'idle');
	});
}

function errorResponse(status: number): string {
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`;
}
