/**
 * Takes in questions about a process, such as whether it is ready.
 *
 * @module
 */
import {type IncomingMessage, type Server} from 'node:http';
import {type CallerSocket} from './caller-connection.ts';
import {ConnectionGuard} from './connection-guard.ts';
import {type Intake} from './intake.ts';
import {RequestIntake} from './request-intake.ts';

/** Options of {@linkcode serveQuestions}. */
export type ServeQuestionsOptions = {
	/** Intake of the process. */
	intake: Intake;
	/** Connections that the server may have at a time. */
	connections: number;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

/** Limits on what is sent; questions have no body. */
const limits = {
	headBytes: 16_384, headMilliseconds: 3000, idleMilliseconds: 15_000, bodyBytes: 0,
};

/** Status of the response to a question with a body. */
const bodyRefusalStatus = 413;

/** Requests in progress on one connection, and on all. */
const requests = {requestsPerConnection: 64, requests: 1000};

/**
 * Guards the connections of a server that answers questions. A question with a body is refused, and its connection closed.
 *
 * @param server The server; it does not listen yet.
 * @param options Intake, and the number of connections.
 */
export function serveQuestions(server: Server, {intake, connections, clock}: ServeQuestionsOptions): void {
	const connectionGuard = new ConnectionGuard<CallerSocket>({...requests, connections});
	intake.serve(server, {guard: connectionGuard, limits: () => limits});
	const listeners = server.listeners('request');
	server.removeAllListeners('request');
	server.on('request', (request, response) => {
		const requestIntake = new RequestIntake(request, {memory: intake.memory, connectionGuard, clock});
		response.once('close', () => {
			requestIntake.end(Promise.resolve());
		});
		if (!requestIntake.isAllowed || requestIntake.isOverLimit) {
			request.destroy();
			return;
		}

		if (hasBody(request)) {
			response.writeHead(bodyRefusalStatus, {connection: 'close', 'content-length': 0});
			response.end();
			return;
		}

		for (const listener of listeners) {
			Reflect.apply(listener, server, [request, response]);
		}
	});
}

function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}
