/**
 * The HTTP server that callers speak to.
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
import {signalOfCaller} from '../supervision/mod.ts';
import {badRequest} from './bodies.ts';
import {type CallerExchange, type CallerParts} from './caller-context.ts';
import {requestUrl} from './request-url.ts';
import {sendJson, sendRefusal} from './respond.ts';
import {serveCall, serviceOfCall} from './serve-call.ts';
import {serveCompletion} from './serve-completion.ts';

/** Serves one authenticated request and returns its outcome code. */
type Handler = (exchange: CallerExchange, parts: CallerParts) => Promise<string>;

type Route = {method: string | undefined; path: RegExp; service: (url: URL) => string; handler: Handler};

const routes: Route[] = [
	{
		method: 'POST', path: /^\/v1\/completions$/v, service: () => 'completions', handler: serveCompletion,
	},
	{
		method: undefined, path: /^\/v1\/services\/[^\/]+(?:\/|$)/v, service: serviceOfCall, handler: serveCall,
	},
];

/** Seconds after which a caller may ask a router again that is not ready. */
const notReadySeconds = 2;

/**
 * Creates the callers' server; it does not listen yet.
 *
 * @param parts The router's parts.
 * @example
 * ```ts
 * createCallerServer(parts).listen(8080, '10.0.0.1');
 * ```
 */
export function createCallerServer(parts: CallerParts): Server {
	const server = createServer((request, response) => {
		void serve(request, response, parts);
	});
	server.requestTimeout = 0;
	server.keepAliveTimeout = 5000;
	return server;
}

async function serve(request: IncomingMessage, response: ServerResponse, parts: CallerParts): Promise<void> {
	const url = requestUrl(request);
	if (!url) {
		sendRefusal(response, badRequest('the path is malformed'));
		return;
	}

	if (request.method === 'GET' && url.pathname === '/v1/entries') {
		sendEntries(response, parts);
		return;
	}

	const ended = parts.leaving.track();
	const requestName = randomUUID();
	const span = parts.tracing.start('caller', parts.tracing.extract(request.headers), {
		request: requestName, method: request.method, path: url.pathname,
	});
	response.setHeader('x-request-id', requestName);
	let outcome = 'failed';
	try {
		outcome = await route({
			request, response, url, requestName, span, signal: signalOfCaller(response),
		}, parts);
	} catch (error) {
		parts.logger.error('request failed', {request: requestName, error: String(error)});
		response.destroy();
	} finally {
		endTracking(response, ended);
		span.setAttribute('outcome', outcome);
		span.end();
		parts.logger.info('request ended', {request: requestName, path: url.pathname, outcome});
	}
}

async function route(exchange: Omit<CallerExchange, 'workspace'>, parts: CallerParts): Promise<string> {
	const {request, response, url} = exchange;
	const found = routes.find(candidate => candidate.path.test(url.pathname) && (candidate.method ?? request.method) === request.method);
	const workspace = workspaceOf(request, parts);
	const refusal = refusalBefore(parts, found, workspace);
	if (refusal) {
		sendRefusal(response, found?.handler === serveCall ? refusalOfAttempt(refusal, request.headers) : refusal);
		return refusal.code;
	}

	const outcome = await found!.handler({...exchange, workspace: workspace!}, parts);
	parts.metrics.requests.inc({service: outcome === 'not_found' ? 'unknown' : found!.service(url), outcome});
	return outcome;
}

/** Decides whether a request is refused before its handler sees it. */
function refusalBefore(parts: CallerParts, found: Route | undefined, workspace: Workspace | undefined): Refusal | undefined {
	const now = parts.wallClock();
	if (parts.leaving.refuses(now)) {
		return {
			status: 503, code: 'host_leaving', message: 'This host is leaving; use another entry.', run: 'no', retryAfterSeconds: 0, entries: entryAddresses(parts),
		};
	}

	if (!parts.configuration.ready) {
		return {
			status: 503, code: 'not_ready', message: 'This host has no configuration that it can act on.', run: 'no', retryAfterSeconds: notReadySeconds, entries: entryAddresses(parts),
		};
	}

	if (!workspace) {
		return {
			status: 401, code: 'unauthorized', message: 'The Authorization header names no key of a workspace.', run: 'no',
		};
	}

	return found
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

/** Entries other than this host, in the order in which a caller should try them. */
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

/** Counts the end of a request once its handler has ended and its answer has left, so that a stop cuts off neither. */
function endTracking(response: ServerResponse, ended: () => void): void {
	if (response.closed) {
		ended();
	} else {
		response.once('close', ended);
	}
}
