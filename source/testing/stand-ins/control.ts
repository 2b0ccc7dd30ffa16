/**
 * What the stand-ins share: a JSON server with a table of handlers.
 *
 * @module
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';

/** One request to a stand-in. */
export type Exchange = {request: IncomingMessage; response: ServerResponse; url: URL; body: unknown};

/** Handlers by method and path, such as `GET /hosts`; a path may end in `*`. */
export type Handlers = Record<string, (exchange: Exchange) => Promise<void> | void>;

/**
 * Answers with JSON.
 *
 * @param response The response.
 * @param status HTTP status.
 * @param body Any value that JSON can hold.
 */
export function answer(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

/**
 * Starts a server on a loopback address.
 *
 * @param listen `address:port`.
 * @param handlers Table of handlers.
 * @returns The listening server.
 */
export async function serveJson(listen: string, handlers: Handlers): Promise<Server> {
	const server = createServer((request, response) => {
		void dispatch(request, response, handlers);
	});
	server.requestTimeout = 0;
	const {hostname, port} = new URL(`http://${listen}`);
	server.listen(Number(port), hostname);
	await once(server, 'listening');
	return server;
}

async function dispatch(request: IncomingMessage, response: ServerResponse, handlers: Handlers): Promise<void> {
	const url = new URL(request.url ?? '/', 'http://stand-in');
	const name = `${request.method} ${url.pathname}`;
	const pattern = Object.keys(handlers).find(key => key === name || (key.endsWith('*') && name.startsWith(key.slice(0, -1))));
	const handler = pattern === undefined ? undefined : handlers[pattern];
	if (!handler) {
		answer(response, 404, {error: 'not found'});
		return;
	}

	const content = await text(request);
	await handler({
		request, response, url, body: request.headers['content-type'] === 'application/json' && content !== '' ? JSON.parse(content) : content,
	});
}
