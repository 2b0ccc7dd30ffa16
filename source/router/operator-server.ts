/**
 * HTTP server for operators: health, metrics, status, request traces and drain.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {serveQuestions} from '../intake/mod.ts';
import {badRequest} from './bodies.ts';
import {type CallerParts} from './caller-context.ts';
import {requestUrl} from './request-url.ts';
import {sendJson, sendRefusal} from './respond.ts';

type Handler = (url: URL, response: ServerResponse, parts: CallerParts) => Promise<void> | void;

/** Connections of operators at a time. */
const operatorConnections = 32;

const handlers: Record<string, Handler> = {
	'GET /health'(_url, response, parts) {
		sendJson(response, parts.configuration.ready ? 200 : 503, {ready: parts.configuration.ready});
	},
	async 'GET /metrics'(_url, response, parts) {
		const text = await parts.metrics.registry.metrics();
		response.writeHead(200, {'content-type': parts.metrics.registry.contentType});
		response.end(text);
	},
	'GET /status'(_url, response, parts) {
		sendJson(response, 200, {
			host: parts.settings.hostName,
			availabilityZone: parts.settings.availabilityZone,
			ready: parts.configuration.ready,
			configurationVersion: parts.configuration.version,
			unreadableVersion: parts.configuration.unreadableVersion,
			services: parts.configuration.current?.services ?? [],
			leaving: parts.shutdown.hasStarted,
			requestsInProgress: parts.shutdown.inProgress,
			incarnation: parts.identity.incarnation,
			peers: parts.peers.open.map(({hostName, direction}) => ({hostName, direction})),
			knownHosts: parts.directory.hosts.length,
			leavingHosts: parts.directory.hosts.filter(host => parts.directory.isLeaving(host, parts.wallClock())).map(({name}) => name),
		});
	},
	'GET /explain'(url, response, parts) {
		sendJson(response, 200, {spans: parts.tracing.explain(url.searchParams.get('request') ?? '')});
	},
	'POST /drain'(_url, response, parts) {
		parts.shutdown.start(parts.wallClock());
		sendJson(response, 202, {leaving: true});
	},
};

/**
 * Creates the HTTP server for operators, which is not listening yet.
 *
 * @param parts The router's components.
 * @example
 * ```ts
 * createOperatorServer(parts).listen(9090, '10.0.0.1');
 * ```
 */
export function createOperatorServer(parts: CallerParts): Server {
	const server = createServer((request, response) => {
		void serve(request, response, parts);
	});
	serveQuestions(server, {...parts, connections: operatorConnections});
	return server;
}

async function serve(request: IncomingMessage, response: ServerResponse, parts: CallerParts): Promise<void> {
	if (request.headers.authorization !== `Bearer ${parts.settings.operators.key}`) {
		sendRefusal(response, {
			status: 401, code: 'unauthorized', message: 'The operator key is missing or wrong.', run: 'no',
		});
		return;
	}

	const url = requestUrl(request);
	if (!url) {
		sendRefusal(response, badRequest('the path is malformed'));
		return;
	}

	const handler = handlers[`${request.method} ${url.pathname}`];
	if (!handler) {
		sendRefusal(response, {
			status: 404, code: 'not_found', message: 'There is nothing at this method and path.', run: 'no',
		});
		return;
	}

	try {
		await handler(url, response, parts);
	} catch (error) {
		parts.logger.error('operator request failed', {path: url.pathname, error: String(error)});
		response.destroy();
	}
}
