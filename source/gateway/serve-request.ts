/**
 * Serves one request of a caller.
 *
 * @module
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {enginePriority} from '../engine-admission/mod.ts';
import {
	admitInTime, closingOutcomes, crashesEndpoints, forwardCall, forwardGeneration, handlingOf, sendErrorResponse, type Exchange, type ExchangeOutcome, type ForwardingDependencies, type ErrorResponse,
} from '../forwarding/mod.ts';
import {decodeRequestHeaders} from '../platform/mod.ts';
import {
	admitRequest, selectService, type AdmissionDecision, type RequestKind, type Route,
} from '../routing/mod.ts';
import {RequestIdentity, type SuspectAdmission, type SuspectedRequests} from '../suspects/mod.ts';
import {RequestIntake, type BodyFailure} from '../intake/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {holdUntilStarted} from './hold-until-started.ts';

type Forwarder = (exchange: Exchange, parts: ForwardingDependencies) => Promise<ExchangeOutcome>;

const forwarders: Record<RequestKind, Forwarder> = {
	idempotent: forwardCall,
	'at-most-once': forwardCall,
	generation: forwardGeneration,
};

/** Response to a request that failed by a fault of the gateway. */
const internalError: ErrorResponse = {status: 502, code: 'internal_error', message: 'This gateway has a fault; the request may have run.'};

/** Response to a request that is in progress when the gateway exits. */
const stoppedUnanswered: ErrorResponse = {status: 502, code: 'stopped', message: 'This gateway stopped before the request was answered; it may have run.'};

/** Retry delay for requests that another gateway can probably serve, in milliseconds. */
const retryElsewhereMilliseconds = 100;

/** Response to a request that arrives late in a graceful shutdown. */
const stopping: ErrorResponse = {
	status: 503, code: 'stopping', message: 'This gateway is stopping.', retryAfterMilliseconds: retryElsewhereMilliseconds,
};

const refusals: Record<Exclude<AdmissionDecision['kind'], 'allowed'>, ErrorResponse> = {
	'no-configuration': {
		status: 503, code: 'no_configuration', message: 'This gateway has no configuration yet.', retryAfterMilliseconds: retryElsewhereMilliseconds,
	},
	'stale-configuration': {
		status: 503, code: 'stale_configuration', message: 'The configuration of this gateway is too old to tell whether the request is allowed.', retryAfterMilliseconds: retryElsewhereMilliseconds,
	},
	'no-route': {status: 404, code: 'no_route', message: 'No route matches the host and path.'},
	'unknown-key': {status: 401, code: 'unknown_key', message: 'The key is unknown.'},
};

/** Delay after which a request may return for whose body there was no room, in milliseconds. */
const retryWithoutRoomMilliseconds = 1000;

const bodyRefusals: Record<Exclude<BodyFailure, 'broken'>, ErrorResponse> = {
	'too-large': {status: 413, code: 'body_too_large', message: 'The body is larger than the configuration allows.'},
	'no-room': {
		status: 503, code: 'no_room', message: 'This gateway has no room for the request; it has not run.', retryAfterMilliseconds: retryWithoutRoomMilliseconds,
	},
	'too-slow': {status: 408, code: 'body_timeout', message: 'The body did not arrive in time; the request has not run.'},
	late: {
		status: 503, code: 'body_late', message: 'The body was not whole when the answer was due; the request has not run.', retryAfterMilliseconds: retryElsewhereMilliseconds,
	},
};

/**
 * Serves one request: admits it, reads its body, forwards it, and records its outcome in the log and the metrics.
 *
 * @param request The request.
 * @param response The response to the caller.
 * @param parts The gateway's components.
 */
export async function serveRequest(request: IncomingMessage, response: ServerResponse, parts: GatewayParts): Promise<void> {
	const arrivedAt = parts.clock();
	const intake = new RequestIntake(request, {...parts, memory: parts.intake.memory});
	if (!intake.isAllowed) {
		parts.callerConnections.closeSocket(request.socket, 'too-many-requests');
		intake.end(Promise.resolve());
		return;
	}

	const finishTracking = parts.shutdown.trackRequest(arrivedAt, () => {
		endAtStop(response, parts);
	}, () => response.writableEnded);
	const terms = decodeRequestHeaders(request.headers);
	const requestName = terms.attempt ?? 'unnamed';
	const {callerDisconnected, delivered} = parts.callerConnections.watch(response, {requestName, arrivedAt});
	if (parts.shutdown.hasStarted) {
		response.setHeader('Connection', 'close');
	}

	let result: ExchangeOutcome & {service?: string; route?: string};
	try {
		const refusal = parts.startHold && await holdUntilStarted(request, {terms, arrivedAt, callerDisconnected}, {...parts, startHold: parts.startHold});
		result = refusal
			? refuse(response, refusal)
			: await admitAndForward(request, response, {
				terms, requestName, arrivedAt, callerDisconnected, delivered, intake,
			}, parts);
	} catch (error) {
		parts.logger.error('request failed', {request: requestName, error: error instanceof Error ? error.stack : String(error)});
		sendErrorResponse(response, internalError);
		result = {outcome: 'internal_error', status: 0, endpoints: []};
	} finally {
		void delivered.then(finishTracking);
		intake.end(delivered);
	}

	if (!callerDisconnected.aborted) {
		closeUnended(response, requestName, parts);
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

/** Ends a request that is in progress when the gateway exits: by an error response, or by closing the connection if a response has begun. */
function endAtStop(response: ServerResponse, {callerConnections}: GatewayParts): void {
	if (response.headersSent && !response.writableEnded) {
		callerConnections.close(response, 'stopped');
	} else {
		sendErrorResponse(response, stoppedUnanswered);
	}
}

/** Admission of a request whose deadline has passed before it was known whether it may crash endpoints; it was not sent to any. */
const notAdmittedInTime: SuspectAdmission = {kind: 'refused', retryAfterMilliseconds: 1000};

/** Closes the connection of a caller whose response was neither ended nor closed by whoever forwarded the request. */
function closeUnended(response: ServerResponse, requestName: string, {logger, callerConnections}: GatewayParts): void {
	if (!response.writableEnded && !response.destroyed) {
		logger.error('response left open', {request: requestName});
		callerConnections.close(response, 'left-open');
	}
}

type RequestContext = Pick<Exchange, 'terms' | 'requestName' | 'arrivedAt' | 'callerDisconnected' | 'delivered'> & {intake: RequestIntake};

async function admitAndForward(request: IncomingMessage, response: ServerResponse, context: RequestContext, parts: GatewayParts): Promise<ExchangeOutcome & {service?: string; route?: string}> {
	const {configuration, shutdown, settings, trustedKeyMilliseconds, random, clock, readClock} = parts;
	if (!shutdown.acceptsRequests(context.arrivedAt)) {
		return refuse(response, stopping);
	}

	if (context.intake.isOverLimit) {
		return refuse(response, bodyRefusals['no-room']);
	}

	const snapshot = configuration.snapshot(readClock());
	const admission = admitRequest({
		...snapshot, host: request.headers.host ?? '', path: request.url ?? '', key: context.terms.key, trustedKeyMilliseconds, maximumDenialAgeMilliseconds: settings.bounds.configurationMilliseconds,
	});
	if (admission.kind !== 'allowed') {
		return refuse(response, refusals[admission.kind]);
	}

	const {route, workspace} = admission;
	const service = snapshot.table!.findService(selectService(route, random()) ?? '');
	if (!service) {
		return refuse(response, {
			status: 503, code: 'no_service', message: 'The route leads to no service.', retryAfterMilliseconds: settings.bounds.entriesSeconds * 1000,
		});
	}

	const {callerDisconnected} = context;
	const {limits} = snapshot.table!.configuration;
	const deadline = answerDeadline(context, route);
	const read = await context.intake.readBody({maximumBytes: limits.bodyBytes, pauseMilliseconds: limits.idleMilliseconds, until: deadline});
	if (callerDisconnected.aborted) {
		return disconnected(response, parts);
	}

	if (read.isErr()) {
		return read.error === 'broken' ? disconnected(response, parts) : refuse(response, bodyRefusals[read.error]);
	}

	const body = read.value;
	if (!shutdown.acceptsRequests(clock())) {
		return refuse(response, stopping);
	}

	parts.retryBudgetOf(service.name).countRequest();
	const identity = new RequestIdentity({
		host: request.headers.host ?? '',
		method: request.method ?? '',
		target: request.url ?? '',
		workspace: workspace?.name,
		body,
		model: context.terms.model,
		promptParts: context.terms.sharedPromptParts,
	});
	const admitted = await admitInTime({identity, deadline, callerDisconnected}, parts);
	const suspectAdmission = admitted.unwrapOr(notAdmittedInTime);
	if (suspectAdmission.kind === 'refused') {
		const refusal = callerDisconnected.aborted ? disconnected(response, parts) : refuse(response, {...crashesEndpoints, retryAfterMilliseconds: suspectAdmission.retryAfterMilliseconds});
		return {...refusal, service: service.name, route: route.name};
	}

	const importance = workspace?.priority ?? route.priority;
	const exchange: Exchange = {
		...context,
		deadline,
		identity,
		handling: handlingOf(suspectAdmission),
		request,
		response,
		body,
		route,
		service,
		workspace,
		importance,
		enginePriority: enginePriority(snapshot.table!.configuration, {service: service.name, importance}),
		versions: parts.rollouts?.openTicket(service.name, route.name),
	};
	const outcome = await forwarders[route.kind](exchange, parts);
	void recordSuspectOutcome(parts.suspects, exchange, outcome);
	return {...outcome, service: service.name, route: route.name};
}

/** Clears the suspicion of a request that was answered, and releases the trial of one that did not run. */
async function recordSuspectOutcome(suspects: SuspectedRequests, {identity, handling}: Exchange, {outcome, status, endpoints}: ExchangeOutcome): Promise<void> {
	if (outcome === 'answered') {
		await (status < 300 ? suspects.recordSuccess(identity) : suspects.clear(identity.digest));
	} else if (handling === 'trial' && (status === 503 || endpoints.length === 0)) {
		await suspects.revertTrial(identity);
	}
}

/** Returns the outcome of a request whose caller's connection closed before it was sent to an endpoint. */
function disconnected(response: ServerResponse, {callerConnections}: GatewayParts): ExchangeOutcome {
	return {outcome: closingOutcomes[callerConnections.reasonOf(response)], status: 0, endpoints: []};
}

function answerDeadline({terms, arrivedAt}: RequestContext, {timeoutMilliseconds}: Route): number {
	return arrivedAt + Math.min(terms.deadlineMilliseconds ?? timeoutMilliseconds, timeoutMilliseconds);
}

function refuse(response: ServerResponse, refusal: ErrorResponse): ExchangeOutcome {
	sendErrorResponse(response, refusal);
	return {outcome: refusal.code, status: refusal.status, endpoints: []};
}
