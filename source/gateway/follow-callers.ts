/**
 * Closes callers' connections as Node's HTTP server does, and records why.
 *
 * @module
 */
import {STATUS_CODES, type Server} from 'node:http';
import {Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {closingReasonOfError, type CallerConnections, type ClosingReason} from '../forwarding/mod.ts';
import {CallerConnection, type CallerSocket} from '../intake/mod.ts';

/** Statuses of the responses to errors on a connection; those of Node's HTTP server. */
const statuses: Record<string, number> = {
	HPE_HEADER_OVERFLOW: 431,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
	ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Reasons for closing a connection that lie in what the caller sent; it still carries responses. */
const reasonsOfInput: ReadonlySet<ClosingReason> = new Set(['invalid-request', 'timeout']);

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

		const close = () => {
			connections.refuseSocket(socket, errorResponse(statuses[error.code ?? ''] ?? badRequestStatus), closingReasonOfError(error.code), error);
		};

		if (reasonsOfInput.has(closingReasonOfError(error.code))) {
			// Requests before it get their own responses.
			socket.pause();
			connections.afterWholeRequests(socket, close);
		} else {
			close();
		}
	});
	server.on('timeout', (socket: CallerSocket) => {
		connections.closeSocket(socket, connections.currentResponse(socket) ? 'timeout' : 'idle');
	});
}

function errorResponse(status: number): string {
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`;
}
