/**
 * Applies the leaving and backoff signals that endpoints send in their responses.
 *
 * @module
 */
import {type EndpointEntry} from '../beliefs/mod.ts';
import {type ResponseTerms} from '../platform/mod.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** Minimum `Retry-After` sent to callers, in milliseconds; the header's format has no smaller unit. */
const minimumRetryAfterMilliseconds = 1;

/** Status of a response that asks the gateway to retry later. */
const unavailableStatus = 503;

/**
 * Records that an endpoint is leaving or requests backoff.
 *
 * Both apply to the endpoint's current incarnation and take precedence over the store's endpoint list, since the endpoint's own state is newer.
 *
 * @param endpoint The endpoint that responded.
 * @param response Status and metadata of its response.
 * @param dependencies Components of the gateway that all requests share.
 */
export function recordSignals(endpoint: EndpointEntry, {status, terms: {leaving, retryAfterMilliseconds}}: {status: number; terms: ResponseTerms}, dependencies: ForwardingDependencies): void {
	const {backoff, logger, clock, countSignal} = dependencies;
	const now = clock();
	recordLeaving(endpoint, leaving, dependencies);
	if (status === unavailableStatus && retryAfterMilliseconds !== undefined) {
		backoff.start(endpoint, now + retryAfterMilliseconds);
		countSignal(endpoint.service, 'backoff');
		logger.info('endpoint asks to back off', {endpoint: endpoint.id, startedAt: endpoint.startedAt, milliseconds: retryAfterMilliseconds});
	}
}

/**
 * Records that an endpoint is leaving, if it announced that.
 *
 * @param endpoint The endpoint that responded.
 * @param leaving Whether it announced that it is leaving.
 * @param dependencies Components of the gateway that all requests share.
 */
export function recordLeaving(endpoint: EndpointEntry, leaving: boolean, {endpoints, logger, clock, countSignal}: ForwardingDependencies): void {
	if (leaving && endpoints.markLeaving(endpoint, clock())) {
		countSignal(endpoint.service, 'leaving');
		logger.info('endpoint says that it leaves', {endpoint: endpoint.id, startedAt: endpoint.startedAt});
	}
}

/**
 * Returns the endpoints of a service that are not in backoff.
 *
 * @param service Name of the service.
 * @param dependencies Components of the gateway that all requests share.
 */
export function usableEndpoints(service: string, {endpoints, backoff, clock}: ForwardingDependencies): readonly EndpointEntry[] {
	const now = clock();
	return backoff.partition(endpoints.endpointsOf(service, now), now).usable;
}

/**
 * Returns the delay after which a caller that no endpoint served may retry.
 *
 * If all endpoints are in backoff, this is the time until the first backoff ends.
 *
 * @param service Name of the service.
 * @param defaultMilliseconds Delay if not all endpoints are in backoff, in milliseconds.
 * @param dependencies Components of the gateway that all requests share.
 * @returns Delay in milliseconds.
 */
export function computeRetryAfter(service: string, defaultMilliseconds: number, {endpoints, backoff, clock}: ForwardingDependencies): number {
	const now = clock();
	const {usable, earliestEnd: firstEnd} = backoff.partition(endpoints.endpointsOf(service, now), now);
	return usable.length === 0 && firstEnd !== undefined ? Math.max(minimumRetryAfterMilliseconds, firstEnd - now) : defaultMilliseconds;
}
