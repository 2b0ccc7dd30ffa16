/**
 * Serves one request of a caller.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	forwardCall, forwardGeneration, sendRefusal, type Exchange, type ExchangeOutcome, type ForwardingParts, type Refusal,
} from '../forwarding/mod.ts';
import {decodeRequestTerms} from '../platform/mod.ts';
import {
	admitRequest, drawService, type Admission, type RequestKind, type Route,
} from '../routing/mod.ts';
import {signalOfCaller} from '../supervision/caller-signal.ts';
import {RequestIdentity, type RequestSuspects, type SuspectAdmission} from '../suspects/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

type Forward = (exchange: Exchange, parts: ForwardingParts) => Promise<ExchangeOutcome>;

const forwards: Record<RequestKind, Forward> = {
	idempotent: forwardCall,
	'at-most-once': forwardCall,
	generation: forwardGeneration,
};

/** When a caller may come back whom another gateway can serve, in milliseconds. */
const elsewhereMilliseconds = 100;

const refusals: Record<Exclude<Admission['kind'], 'allowed'>, Refusal> = {
	'no-configuration': {
		status: 503, code: 'no_configuration', message: 'This gateway has no configuration yet.', retryAfterMilliseconds: elsewhereMilliseconds,
	},
	'stale-configuration': {
		status: 503, code: 'stale_configuration', message: 'The configuration of this gateway is too old to tell whether the request is allowed.', retryAfterMilliseconds: elsewhereMilliseconds,
	},
	'no-route': {status: 404, code: 'no_route', message: 'No route matches the host and path.'},
	'unknown-key': {status: 401, code: 'unknown_key', message: 'The key is unknown.'},
};

/**
 * Serves one request: admits it, reads its body, forwards it, and logs how it ended.
 *
 * @param request The request.
 * @param response Its answer.
 * @param parts The gateway's parts.
 */
export async function serveRequest(request: IncomingMessage, response: ServerResponse, parts: GatewayParts): Promise<void> {
	const arrivedAt = parts.clock();
	const ended = parts.stopping.track(arrivedAt);
	const terms = decodeRequestTerms(request.headers);
	const requestName = terms.attempt ?? 'unnamed';
	if (parts.stopping.begun) {
		response.setHeader('Connection', 'close');
	}

	let result: ExchangeOutcome & {service?: string; route?: string};
	try {
		result = await serve(request, response, {terms, requestName, arrivedAt}, parts);
	} catch (error) {
		parts.logger.error('request failed', {request: requestName, error: error instanceof Error ? error.stack : String(error)});
		response.destroy();
		result = {outcome: 'internal_error', status: 0, endpoints: []};
	} finally {
		ended();
	}

	const milliseconds = parts.clock() - arrivedAt;
	const {outcome, status, endpoints, generation, service = 'none', route} = result;
	parts.metrics.requests.inc({service, outcome});
	parts.metrics.attempts.inc({service}, endpoints.length);
	parts.metrics.answerSeconds.observe({service}, milliseconds / 1000);
	const {table, ageMilliseconds} = parts.configuration.snapshot(parts.readClock());
	parts.logger.info('request ended', {
		request: requestName,
		outcome,
		status,
		route,
		service,
		endpoints,
		milliseconds: Math.round(milliseconds),
		...generation,
		configuration: table?.version,
		configurationAge: Math.round(ageMilliseconds),
	});
}

/** How a request that is not refused is sent. */
const cares: Record<Exclude<SuspectAdmission['kind'], 'refused'>, Exchange['care']> = {free: 'none', suspected: 'suspected', trial: 'trial'};

const endsEndpoints: Refusal = {
	status: 503, code: 'ends_endpoints', message: 'Endpoints ended each time they ran this request, and it is not sent to another one for now.',
};

type Arrived = Pick<Exchange, 'terms' | 'requestName' | 'arrivedAt'>;

async function serve(request: IncomingMessage, response: ServerResponse, arrived: Arrived, parts: GatewayParts): Promise<ExchangeOutcome & {service?: string; route?: string}> {
	const {configuration, stopping, settings, trustedKeyMilliseconds, random, readClock} = parts;
	if (!stopping.takes(arrived.arrivedAt)) {
		return refuse(response, {
			status: 503, code: 'stopping', message: 'This gateway is stopping.', retryAfterMilliseconds: elsewhereMilliseconds,
		});
	}

	const knowledge = configuration.snapshot(readClock());
	const admission = admitRequest({
		...knowledge, host: request.headers.host ?? '', path: request.url ?? '', key: arrived.terms.key, trustedKeyMilliseconds, deniesWithinMilliseconds: settings.bounds.configurationMilliseconds,
	});
	if (admission.kind !== 'allowed') {
		return refuse(response, refusals[admission.kind]);
	}

	const {route, workspace} = admission;
	const service = knowledge.table!.service(drawService(route, random()) ?? '');
	if (!service) {
		return refuse(response, {
			status: 503, code: 'no_service', message: 'The route leads to no service.', retryAfterMilliseconds: settings.bounds.entriesSeconds * 1000,
		});
	}

	const callerGone = signalOfCaller(response);
	const body = await readBody(request, knowledge.table!.configuration.limits.bodyBytes);
	if (callerGone.aborted || body === 'broken') {
		return {outcome: 'caller_left', status: 0, endpoints: []};
	}

	if (body === 'too-large') {
		return refuse(response, {status: 413, code: 'body_too_large', message: 'The body is larger than the configuration allows.'});
	}

	parts.retryBudgetOf(service.name).countRequest();
	const identity = new RequestIdentity({
		host: request.headers.host ?? '', method: request.method ?? '', target: request.url ?? '', workspace: workspace?.name, body,
	});
	const suspected = await parts.suspects.admit(identity);
	if (suspected.kind === 'refused') {
		return {...refuse(response, {...endsEndpoints, retryAfterMilliseconds: suspected.retryAfterMilliseconds}), service: service.name, route: route.name};
	}

	const outcome = await forwards[route.kind]({
		...arrived, answerBy: answerBy(arrived, route), identity, care: cares[suspected.kind], request, response, body, route, service, workspace, callerGone,
	}, parts);
	void learnOfSuspect(parts.suspects, {identity, suspected, outcome});
	return {...outcome, service: service.name, route: route.name};
}

type ServedSuspect = {identity: RequestIdentity; suspected: SuspectAdmission; outcome: ExchangeOutcome};

/** Clears a suspected request that was served, and takes back a trial that did not run. */
async function learnOfSuspect(suspects: RequestSuspects, {identity, suspected, outcome: {outcome, status}}: ServedSuspect): Promise<void> {
	if (outcome === 'answered') {
		await suspects.succeeded(identity);
	} else if (suspected.kind === 'trial' && status === 503) {
		await suspects.trialNotRun(identity);
	}
}

function answerBy({terms, arrivedAt}: Arrived, {timeoutMilliseconds}: Route): number {
	return arrivedAt + Math.min(terms.deadlineMilliseconds ?? timeoutMilliseconds, timeoutMilliseconds);
}

function refuse(response: ServerResponse, refusal: Refusal): ExchangeOutcome {
	sendRefusal(response, refusal);
	return {outcome: refusal.code, status: refusal.status, endpoints: []};
}

async function readBody(request: IncomingMessage, largestBytes: number): Promise<Uint8Array | 'too-large' | 'broken'> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > largestBytes) {
				return 'too-large';
			}

			chunks.push(chunk);
		}
	} catch {
		return 'broken';
	}

	return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
