/**
 * The HTTP servers of a gateway: for callers, for whoever asks which gateways to use, and for its readiness and metrics.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {listGateways} from '../fleet/mod.ts';
import {decodeEntryCall, encodeEntries, type EntryCall} from '../platform/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {isReady} from './readiness.ts';
import {serveRequest} from './serve-request.ts';

/** Headers of one request that are read at most, in bytes; the configuration may set a lower bound. */
const headerBytes = 65_536;

/** Time for which an unused connection of a caller is kept before there is a configuration, in milliseconds. */
const defaultIdleMilliseconds = 15_000;

/** Time for which callers should keep an answer that names entries, in seconds. */
const entriesSeconds = 2;

/** Entries named at most. */
const entryCount = 64;

/** Answers one call that is not a request to a service. */
type EntryHandler<Kind extends EntryCall['kind']> = (call: Extract<EntryCall, {kind: Kind}>, response: ServerResponse, parts: GatewayParts) => void;

const entryHandlers: {[Kind in EntryCall['kind']]: EntryHandler<Kind>} = {
	entries({availabilityZone, region}, response, {members, clock, random, settings}) {
		const addresses = listGateways({
			members: members.live(clock()), availabilityZone, region, count: entryCount, random,
		});
		const body = encodeEntries(addresses, Math.min(entriesSeconds, settings.bounds.entriesSeconds));
		response.writeHead(200, {'content-type': 'application/json', 'content-length': body.length});
		response.end(body);
	},
	readiness(_call, response, parts) {
		response.writeHead(isReady(parts) ? 200 : 503, {'content-length': 0});
		response.end();
	},
};

/**
 * Creates the server that callers send their requests to; it does not listen yet.
 *
 * @param parts The gateway's parts.
 */
export function createCallerServer(parts: GatewayParts): Server {
	const server = createServer({maxHeaderSize: headerBytes, keepAliveTimeout: defaultIdleMilliseconds, requestTimeout: 0}, (request, response) => {
		void serveRequest(request, response, parts);
	});
	parts.configuration.onChange(({configuration: {limits}}) => {
		server.keepAliveTimeout = limits.idleMilliseconds;
	});
	return server;
}

/**
 * Creates the server that says which gateways to use and whether this one is ready; it does not listen yet.
 *
 * @param parts The gateway's parts.
 */
export function createEntryServer(parts: GatewayParts): Server {
	return createServer((request, response) => {
		const call = decodeEntryCall(request.method, request.url ?? '');
		if (call?.kind === 'entries') {
			entryHandlers.entries(call, response, parts);
		} else if (call?.kind === 'readiness') {
			entryHandlers.readiness(call, response, parts);
		} else {
			notFound(request, response);
		}
	});
}

/**
 * Creates the server of the metrics; it does not listen yet.
 *
 * @param parts The gateway's parts.
 */
export function createMetricsServer({metrics, members, clock}: GatewayParts): Server {
	return createServer((request, response) => {
		if (request.url !== '/metrics') {
			notFound(request, response);
			return;
		}

		metrics.liveGateways.set(members.live(clock()).length);
		void metrics.registry.metrics().then(text => {
			response.writeHead(200, {'content-type': metrics.registry.contentType});
			response.end(text);
		});
	});
}

function notFound(request: IncomingMessage, response: ServerResponse): void {
	request.resume();
	response.writeHead(404, {'content-length': 0});
	response.end();
}
