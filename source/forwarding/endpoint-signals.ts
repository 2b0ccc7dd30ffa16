/**
 * Applies the leaving and backoff signals that endpoints send in their responses.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {type EngineReport} from '../balancing/mod.ts';
import {type VersionTicket} from '../rollouts/mod.ts';
import {type ResponseTerms} from '../platform/mod.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** Minimum `Retry-After` sent to callers, in milliseconds; the header's format has no smaller unit. */
const minimumRetryAfterMilliseconds = 1;

/** Status of a response that asks the gateway to retry later. */
const unavailableStatus = 503;

/** Status of a response of another endpoint at the same address. */
const misdirectedStatus = 421;

/** Response of an endpoint, and the monotonic time at which its request was sent, in milliseconds. */
export type SignalingResponse = {status: number; terms: ResponseTerms; sentAt: number};

/** Service and importance of a request, where 0 is the highest, and the versions that it may be sent to. */
export type RequestClass = {service: string; importance: number; versions?: VersionTicket};

/**
 * Records that an endpoint is leaving, requests backoff, or names or lifts a limit.
 *
 * These apply to the endpoint's current incarnation and take precedence over the store's endpoint list, since the endpoint's own state is newer.
 *
 * @param endpoint The endpoint that responded.
 * @param response Its response.
 * @param dependencies Components of the gateway that all requests share.
 */
export function recordSignals(endpoint: EndpointEntry, {status, terms: {leaving, retryAfterMilliseconds, limit}, sentAt}: SignalingResponse, dependencies: ForwardingDependencies): void {
	const {backoff, limiter, logger, clock, countSignal} = dependencies;
	const now = clock();
	recordLeaving(endpoint, leaving, dependencies);
	if (status !== misdirectedStatus) {
		limiter.observe(endpoint, limit, sentAt);
	}

	if (status === unavailableStatus && retryAfterMilliseconds !== undefined) {
		backoff.start(endpoint, now + retryAfterMilliseconds);
		countSignal(endpoint.service, 'backoff');
		logger.info('endpoint asks to back off', {endpoint: endpoint.id, startedAt: endpoint.startedAt, milliseconds: retryAfterMilliseconds});
	}
}

/**
 * Records that an engine announces in its report that it is leaving, or names a limit there. A report without a limit does not lift one.
 *
 * @param endpoint The engine that reported.
 * @param report Its report.
 * @param dependencies Components of the gateway that all requests share.
 */
export function recordReport(endpoint: EndpointEntry, {saysLeaving, limit}: EngineReport, dependencies: ForwardingDependencies): void {
	recordLeaving(endpoint, saysLeaving, dependencies);
	if (limit.kind !== 'none') {
		dependencies.limiter.observe(endpoint, limit, dependencies.clock());
	}
}

function recordLeaving(endpoint: EndpointEntry, leaving: boolean, {endpoints, logger, clock, countSignal}: ForwardingDependencies): void {
	if (leaving && endpoints.markLeaving(endpoint, clock())) {
		countSignal(endpoint.service, 'leaving');
		logger.info('endpoint says that it leaves', {endpoint: endpoint.id, startedAt: endpoint.startedAt});
	}
}

/**
 * Returns the endpoints of a service that are not in backoff and not known to lack permits for a request.
 *
 * @param request Service and importance of the request.
 * @param dependencies Components of the gateway that all requests share.
 */
export function usableEndpoints({service, importance, versions}: RequestClass, {endpoints, backoff, limiter, clock}: ForwardingDependencies): readonly EndpointEntry[] {
	const now = clock();
	const all = endpoints.endpointsOf(service, now);
	const usableOf = (listed: readonly EndpointEntry[]) => limiter.usable(backoff.partition(listed, now).usable, importance, now);
	const usable = usableOf(versions?.usable(all) ?? all);
	return versions && usable.length === 0 ? usableOf(versions.withoutTrial(all)) : usable;
}

/**
 * Whether a request is rejected only because the endpoints that could serve it lack permits.
 *
 * @param request Service and importance of the request.
 * @param dependencies Components of the gateway that all requests share.
 */
export function isRejectedByLimit(request: RequestClass, dependencies: ForwardingDependencies): boolean {
	const {endpoints, backoff, clock} = dependencies;
	const now = clock();
	const all = endpoints.endpointsOf(request.service, now);
	return usableEndpoints(request, dependencies).length === 0 && backoff.partition(request.versions?.withoutTrial(all) ?? all, now).usable.length > 0;
}

/**
 * Returns the delay after which a caller that no endpoint served may retry.
 *
 * If all endpoints are in backoff, this is the time until the first backoff ends; if the others lack permits, it follows from their limits.
 *
 * @param request Service and importance of the request.
 * @param defaultMilliseconds Delay if not all endpoints are in backoff, in milliseconds.
 * @param dependencies Components of the gateway that all requests share.
 * @returns Delay in milliseconds.
 */
export function computeRetryAfter({service, importance}: RequestClass, defaultMilliseconds: number, {endpoints, backoff, limiter, clock}: ForwardingDependencies): number {
	const now = clock();
	const {usable, earliestEnd: firstEnd} = backoff.partition(endpoints.endpointsOf(service, now), now);
	if (usable.length === 0 && firstEnd !== undefined) {
		return Math.max(minimumRetryAfterMilliseconds, firstEnd - now);
	}

	const lacksPermits = usable.length > 0 && limiter.usable(usable, importance, now).length === 0;
	return (lacksPermits ? limiter.returnDelay(usable, now) : undefined) ?? defaultMilliseconds;
}
