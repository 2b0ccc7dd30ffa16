/**
 * One HTTP request of a caller in tests, and what came back.
 *
 * @module
 */
import {type Agent, request as startRequest} from 'node:http';
import {type Socket} from 'node:net';

/** Answer that a caller got; status 0 where the connection ended without one. `whole` tells whether it ended as the protocol says. */
export type CallerAnswer = {status: number; headers: Record<string, string | string[] | undefined>; body: string; whole: boolean};

/** Options of {@linkcode sendCall}. */
export type SendCallOptions = {
	path: string;
	/** Default `GET`. */
	method?: string;
	body?: string;
	headers?: Record<string, string>;
	/** Ends the request early. */
	signal?: AbortSignal;
	/** Whether the body is read and dropped. Default false. */
	dropsBody?: boolean;
	/** Keeps connections. Default: a connection of its own. */
	agent?: Agent;
	/** Called with the connection that it is sent on. Default does nothing. */
	onConnection?: (socket: Socket) => void;
};

/**
 * Sends a request and waits for the end of its answer; never fails.
 *
 * @param address `address:port`.
 * @param options The request.
 */
export async function sendCall(address: string, {
	path, method = 'GET', body, headers, signal, dropsBody = false, agent, onConnection,
}: SendCallOptions): Promise<CallerAnswer> {
	const [hostname, port] = address.split(':');
	return new Promise(resolve => {
		const request = startRequest({
			hostname, port, method, path, headers, signal, agent: agent ?? false,
		}, response => {
			let text = '';
			const answer = (whole: boolean) => {
				resolve({
					status: response.statusCode ?? 0, headers: response.headers, body: text, whole,
				});
			};

			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				text += dropsBody ? '' : chunk;
			});
			response.on('end', () => {
				answer(response.complete);
			});
			response.on('error', () => {
				answer(false);
			});
		});
		request.on('error', () => {
			resolve({
				status: 0, headers: {}, body: '', whole: false,
			});
		});
		request.on('socket', socket => {
			onConnection?.(socket);
		});
		request.end(body);
	});
}
