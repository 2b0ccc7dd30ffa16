/**
 * The HTTP servers of a gateway: for callers, for gateway discovery and readiness, and for metrics.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {listGateways} from '../fleet/mod.ts';
import {serveQuestions} from '../intake/mod.ts';
import {decodeManagementCall, encodeEntries, type ManagementCall} from '../platform/mod.ts';
import {followCallers} from './follow-callers.ts';
import {guardConnections} from './guard-connections.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {isReady} from './readiness.ts';
import {serveRequest} from './serve-request.ts';

/** Maximum size of the headers of one request, in bytes; the configuration may set a lower limit. */
const maximumHeaderBytes = 65_536;

/** Idle timeout of caller connections until a configuration is known, in milliseconds. */
const defaultIdleMilliseconds = 15_000;

/** Maximum time for which callers should cache the list of entries (addresses of live gateways), in seconds. */
const maximumEntriesSeconds = 2;

/** Maximum number of entries in the list. */
const maximumEntries = 64;

/** Connections that the servers other than that for callers may have at a time. */
const questionConnections = {entries: 96, metrics: 16};

/** Handles one kind of call for entries or readiness. */
type EntryHandler<Kind extends ManagementCall['kind']> = (call: Extract<ManagementCall, {kind: Kind}>, response: ServerResponse, parts: GatewayParts) => void;

const entryHandlers: {[Kind in ManagementCall['kind']]: EntryHandler<Kind>} = {
	entries({availabilityZone, region}, response, {members, clock, random, settings}) {
		const addresses = listGateways({
			members: members.live(clock()), availabilityZone, region, count: maximumEntries, random,
		});
		const body = encodeEntries(addresses, Math.min(maximumEntriesSeconds, settings.bounds.entriesSeconds));
		response.writeHead(200, {'content-type': 'application/json', 'content-length': body.length});
		response.end(body);
	},
	readiness(_call, response, parts) {
		response.writeHead(isReady(parts) ? 200 : 503, {'content-length': 0});
		response.end();
	},
};

/**
 * Creates the server for requests of callers; it does not listen yet.
 *
 * @param parts The gateway's components.
 */
export function createCallerServer(parts: GatewayParts): Server {
	const server = createServer({maxHeaderSize: maximumHeaderBytes, keepAliveTimeout: defaultIdleMilliseconds, requestTimeout: 0}, (request, response) => {
		void serveRequest(request, response, parts);
	});
	followCallers(server, parts.callerConnections);
	guardConnections(server, parts);
	parts.configuration.onChange(({configuration: {limits}}) => {
		server.keepAliveTimeout = limits.idleMilliseconds;
		// Applies to connections that are opened from now on.
		Object.assign(server, {maxHeaderSize: limits.headerBytes});
	});
	return server;
}

/**
 * Creates the server for the list of entries and the readiness of this gateway; it does not listen yet.
 *
 * @param parts The gateway's components.
 */
export function createEntryServer(parts: GatewayParts): Server {
	const server = createServer((request, response) => {
		const call = decodeManagementCall(request.method, request.url ?? '');
		if (call?.kind === 'entries') {
			entryHandlers.entries(call, response, parts);
		} else if (call?.kind === 'readiness') {
			entryHandlers.readiness(call, response, parts);
		} else {
			notFound(request, response);
		}
	});
	serveQuestions(server, {...parts, connections: questionConnections.entries});
	return server;
}

/**
 * Creates the metrics server; it does not listen yet.
 *
 * @param parts The gateway's components.
 */
export function createMetricsServer(parts: GatewayParts): Server {
	const {metrics, members, clock} = parts;
	const server = createServer((request, response) => {
		if (request.url !== '/metrics') {
			notFound(request, response);
			return;
		}

		metrics.liveGateways.set(members.live(clock()).length);
		setIntakeMetrics(parts);
		void metrics.registry.metrics().then(text => {
			response.writeHead(200, {'content-type': metrics.registry.contentType});
			response.end(text);
		});
	});
	serveQuestions(server, {...parts, connections: questionConnections.metrics});
	return server;
}

function setIntakeMetrics({metrics, intake}: GatewayParts): void {
	for (const [kind, bytes] of Object.entries(intake.memory.heldBytes)) {
		metrics.callerBytes.set({kind}, bytes);
	}

	metrics.waitingReads.set(intake.waiting);
}

function notFound(request: IncomingMessage, response: ServerResponse): void {
	request.resume();
	response.writeHead(404, {'content-length': 0});
	response.end();
}
