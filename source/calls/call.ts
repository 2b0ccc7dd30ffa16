/**
 * One call to a plain service, and how it ended.
 *
 * @module
 */
import {type Span} from '@opentelemetry/api';
import {type RetryBudget} from '../admission/mod.ts';
import {limitedRefusal, type Refusal} from '../answers/mod.ts';
import {type PlainService} from '../configuration/mod.ts';
import {type PooledServiceClient, type ServiceResponse, type ServiceRequest} from '../endpoints/mod.ts';
import {type EndpointLimiter} from '../limits/mod.ts';
import {
	endpointIncarnation, limitedReturnDelay, placePermitted, type Placement,
} from '../placement/mod.ts';
import {type Logger, type Tracing} from '../telemetry/mod.ts';
import {type ClaimStore} from './claim-store.ts';
import {type RecentLatency} from './recent-latency.ts';

/** A call that has been admitted. */
export type ServiceCall = {
	service: PlainService;
	workspace: string;
	request: ServiceRequest;
	/** Monotonic time after which an answer is no longer useful, in milliseconds. */
	deadline: number;
	/** Span of the caller's request. */
	span: Span;
	/** Aborts when the caller has disconnected. */
	signal: AbortSignal;
};

/** A call that runs at most once. */
export type KeyedCall = ServiceCall & {
	idempotencyKey: string;
	/** Whether the caller states that no earlier attempt under the key can have run. */
	firstAttempt: boolean;
};

/** How a call ended; `stored` marks the answer of an earlier attempt. */
export type CallOutcome = {kind: 'answered'; answer: ServiceResponse; stored?: boolean} | {kind: 'refused'; refusal: Refusal};

/** Components of the router that calls use. */
export type CallParts = {
	placement: Placement;
	serviceClient: PooledServiceClient;
	claims: ClaimStore;
	/** Returns a service's budget of retries and hedges. */
	retryBudgetOf: (service: string) => RetryBudget;
	/** Keeps the limits that endpoints name. */
	limiter: EndpointLimiter;
	/** Latency of idempotent calls by service. */
	recentLatency: RecentLatency;
	tracing: Tracing;
	logger: Logger;
	/** Host and incarnation of this router. */
	incarnation: string;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Registers work that a planned stop must wait for; returns a function that marks it as finished. */
	track: () => () => void;
};

/** Seconds after which a caller may retry a call that failed because no endpoint or table was available. */
export const defaultRetryAfterSeconds = 1;

/**
 * Returns the refusal of a call for which no endpoint could be reached.
 *
 * @param service Name of the service.
 * @param run Whether the call may have run nevertheless.
 */
export function noEndpointRefusal(service: string, run: Refusal['run']): Refusal {
	return {
		status: 503, code: 'no_endpoint', message: `No endpoint of "${service}" can be reached.`, run, retryAfterSeconds: defaultRetryAfterSeconds,
	};
}

/** Importance of a call to a plain service; all calls are equally important. */
const callImportance = 0;

/**
 * Returns the refusal of a call that no endpoint ran: since their limits are reached, or since none could be reached.
 *
 * @param call The call.
 * @param parts Components of the router.
 */
export function notRunRefusal({service: {service}}: ServiceCall, parts: CallParts): Refusal {
	const delayMilliseconds = limitedReturnDelay(service, callImportance, parts);
	return delayMilliseconds === undefined ? noEndpointRefusal(service, 'no') : limitedRefusal(service, delayMilliseconds);
}

/**
 * Chooses an endpoint for a call and acquires a permit for it if it has a limit.
 *
 * @param call The call.
 * @param parts Components of the router.
 * @param exclude Endpoints on which the call has failed.
 */
export async function acquireEndpoint(call: ServiceCall, parts: CallParts, exclude: ReadonlySet<string>): Promise<string | undefined> {
	return placePermitted({
		...parts, exclude, choose: excluded => chooseEndpoint(call, parts, excluded), request: {importance: callImportance, requestName: `${call.service.service} ${call.request.path}`},
	});
}

/**
 * Records what the response of an endpoint states about its limit.
 *
 * @param endpoint Address of the endpoint.
 * @param response The response.
 * @param sentAt Monotonic time at which the request was sent, in milliseconds.
 * @param parts Components of the router.
 */
export function recordLimit(endpoint: string, {limit}: ServiceResponse, sentAt: number, {limiter}: CallParts): void {
	limiter.observe(endpointIncarnation(endpoint), limit, sentAt);
}

/**
 * Chooses an endpoint for a call.
 *
 * @param call The call.
 * @param parts Components of the router.
 * @param exclude Endpoints on which the call has failed.
 */
export function chooseEndpoint(call: ServiceCall, parts: CallParts, exclude: ReadonlySet<string>): string | undefined {
	return parts.placement.choose({
		service: call.service.service, exclude, now: parts.clock(), random: parts.random(),
	});
}
