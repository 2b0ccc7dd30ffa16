/**
 * HTTP server for callers.
 *
 * @module
 */
import {createHash, randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Refusal} from '../answers/mod.ts';
import {refusalOfAttempt} from '../calls/mod.ts';
import {type Workspace} from '../configuration/mod.ts';
import {chooseEntries} from '../membership/mod.ts';
import {type Host} from '../table-service/mod.ts';
import {callerDisconnectSignal} from '../supervision/mod.ts';
import {RequestIntake} from '../intake/mod.ts';
import {badRequest, tooManyRequests} from './bodies.ts';
import {type CallerExchange, type CallerParts} from './caller-context.ts';
import {requestUrl} from './request-url.ts';
import {sendJson, sendRefusal} from './respond.ts';
import {serveCall, serviceOfCall} from './serve-call.ts';
import {serveCompletion} from './serve-completion.ts';

/** Serves one authenticated request and returns its outcome code, for metrics. */
type Handler = (exchange: CallerExchange, parts: CallerParts) => Promise<string>;

type Route = {method: string | undefined; path: RegExp; serviceOf: (url: URL) => string; handler: Handler};

const routes: Route[] = [
	{
		method: 'POST', path: /^\/v1\/completions$/v, serviceOf: () => 'completions', handler: serveCompletion,
	},
	{
		method: undefined, path: /^\/v1\/services\/[^\/]+(?:\/|$)/v, serviceOf: serviceOfCall, handler: serveCall,
	},
];

/** Delay after which a caller may retry at a router that is not ready, in seconds. */
const notReadyRetryAfterSeconds = 2;

/** Maximum size of the head of a request, in bytes. */
const maximumHeaderBytes = 16_384;

/** Time within which the head of a request must arrive, in milliseconds. */
const headMilliseconds = 10_000;

/** Time after which a connection between two requests is closed, and one on which none has come, in milliseconds. */
const idleMilliseconds = 5000;
const unusedMilliseconds = 15_000;

/**
 * Creates the HTTP server for callers, which is not listening yet.
 *
 * @param parts The router's components.
 * @example
 * ```ts
 * createCallerServer(parts).listen(8080, '10.0.0.1');
 * ```
 */
export function createCallerServer(parts: CallerParts): Server {
	const server = createServer({maxHeaderSize: maximumHeaderBytes}, (request, response) => {
		void takeIn(request, response, parts);
	});
	server.requestTimeout = 0;
	server.keepAliveTimeout = idleMilliseconds;
	const limits = {
		headBytes: maximumHeaderBytes, headMilliseconds, idleMilliseconds: unusedMilliseconds, bodyBytes: parts.settings.callers.largestBodyBytes,
	};
	parts.intake.serve(server, {
		guard: parts.connectionGuard,
		limits: () => limits,
		close(connection, reason) {
			parts.logger.debug('connection of a caller closed', {reason, bytesRead: connection.bytesRead});
			connection.destroy();
		},
		onClosed(closed) {
			parts.logger.info('connections of callers closed', {late: closed.length, open: parts.connectionGuard.size, reason: closed[0]!.reason});
		},
	});
	return server;
}

/** Takes in a request, serves it, and accounts for it until its response is closed. */
async function takeIn(request: IncomingMessage, response: ServerResponse, parts: CallerParts): Promise<void> {
	const intake = new RequestIntake(request, {...parts, memory: parts.intake.memory});
	const delivered = new Promise<void>(resolve => {
		response.once('close', resolve);
	});
	if (!intake.isAllowed) {
		request.socket.destroy();
		intake.end(Promise.resolve());
		return;
	}

	try {
		await serve({request, response, intake}, parts);
	} finally {
		intake.end(delivered);
	}
}

async function serve({request, response, intake}: Pick<CallerExchange, 'request' | 'response' | 'intake'>, parts: CallerParts): Promise<void> {
	const url = requestUrl(request);
	if (!url) {
		sendRefusal(response, badRequest('the path is malformed'));
		return;
	}

	if (request.method === 'GET' && url.pathname === '/v1/entries') {
		sendEntries(response, parts);
		return;
	}

	const finishTracking = parts.shutdown.trackRequest();
	const requestName = randomUUID();
	const span = parts.tracing.start('caller', parts.tracing.extract(request.headers), {
		request: requestName, method: request.method, path: url.pathname,
	});
	response.setHeader('x-request-id', requestName);
	let outcome = 'failed';
	try {
		outcome = await route({
			request, response, intake, url, requestName, span, signal: callerDisconnectSignal(response),
		}, parts);
	} catch (error) {
		parts.logger.error('request failed', {request: requestName, error: String(error)});
		response.destroy();
	} finally {
		finishWhenClosed(response, finishTracking);
		span.setAttribute('outcome', outcome);
		span.end();
		parts.logger.info('request ended', {request: requestName, path: url.pathname, outcome});
	}
}

async function route(exchange: Omit<CallerExchange, 'workspace'>, parts: CallerParts): Promise<string> {
	const {request, response, url, intake} = exchange;
	const matchedRoute = routes.find(candidate => candidate.path.test(url.pathname) && (candidate.method ?? request.method) === request.method);
	const workspace = workspaceOf(request, parts);
	const refusal = intake.isOverLimit ? tooManyRequests : checkRequest(parts, matchedRoute, workspace);
	if (refusal) {
		sendRefusal(response, matchedRoute?.handler === serveCall ? refusalOfAttempt(refusal, request.headers) : refusal);
		return refusal.code;
	}

	const outcome = await matchedRoute!.handler({...exchange, workspace: workspace!}, parts);
	parts.metrics.requests.inc({service: outcome === 'not_found' ? 'unknown' : matchedRoute!.serviceOf(url), outcome});
	return outcome;
}

/** Returns the refusal if the request must not reach a handler. */
function checkRequest(parts: CallerParts, matchedRoute: Route | undefined, workspace: Workspace | undefined): Refusal | undefined {
	const now = parts.wallClock();
	if (parts.shutdown.rejectsRequests(now)) {
		return {
			status: 503, code: 'host_leaving', message: 'This host is leaving; use another entry.', run: 'no', retryAfterSeconds: 0, entries: entryAddresses(parts),
		};
	}

	if (!parts.configuration.ready) {
		return {
			status: 503, code: 'not_ready', message: 'This host has no configuration that it can act on.', run: 'no', retryAfterSeconds: notReadyRetryAfterSeconds, entries: entryAddresses(parts),
		};
	}

	if (!workspace) {
		return {
			status: 401, code: 'unauthorized', message: 'The Authorization header names no key of a workspace.', run: 'no',
		};
	}

	return matchedRoute
		? undefined
		: {
			status: 404, code: 'not_found', message: 'There is nothing at this method and path.', run: 'no',
		};
}

function workspaceOf(request: IncomingMessage, parts: CallerParts): Workspace | undefined {
	const [scheme, key] = (request.headers.authorization ?? '').split(' ');
	if (scheme !== 'Bearer' || key === undefined) {
		return undefined;
	}

	return parts.configuration.workspaceOfKey(createHash('sha256').update(key).digest('hex'));
}

/** Returns the addresses of entries other than this host, in the order in which a caller should try them. */
function entryAddresses(parts: CallerParts): string[] {
	return entriesOf(parts).filter(host => host.name !== parts.settings.hostName).map(host => host.entry!.callers);
}

function entriesOf({directory, settings, random, wallClock}: CallerParts): Host[] {
	return chooseEntries({
		hosts: directory.entryHosts(wallClock()), availabilityZone: settings.availabilityZone, region: settings.region, random,
	});
}

function sendEntries(response: ServerResponse, parts: CallerParts): void {
	sendJson(response, 200, {
		entries: entriesOf(parts).map(host => ({address: host.entry!.callers, availabilityZone: host.availabilityZone})),
		timeToLiveSeconds: parts.settings.callers.entryTimeToLiveSeconds,
	});
}

/** Ends the tracking of a request whose handler has finished once its response is closed too, so that a graceful shutdown waits for both. */
function finishWhenClosed(response: ServerResponse, finishTracking: () => void): void {
	if (response.closed) {
		finishTracking();
	} else {
		response.once('close', finishTracking);
	}
}
