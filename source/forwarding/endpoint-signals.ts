/**
 * Obeys what endpoints say of themselves in their answers.
 *
 * @module
 */
import {type EndpointEntry} from '../beliefs/mod.ts';
import {type AnswerTerms} from '../platform/mod.ts';
import {type ForwardingParts} from './forwarding-parts.ts';

/** Shortest time to come back that callers are told, in milliseconds: an answer names no shorter one. */
const shortestMilliseconds = 1;

/** Status of an answer that turns a request away for now. */
const turnedAwayStatus = 503;

/**
 * Remembers that an endpoint leaves, or asks to back off.
 *
 * Both hold for the life of the endpoint that said it, whatever the store's list says, since the endpoint knows better and sooner.
 *
 * @param endpoint The endpoint that answered.
 * @param answer Status and terms of its answer.
 * @param parts The router's other parts.
 */
export function noteSignals(endpoint: EndpointEntry, {status, terms: {leaving, retryAfterMilliseconds}}: {status: number; terms: AnswerTerms}, parts: ForwardingParts): void {
	const {backoff, logger, clock, countSignal} = parts;
	const now = clock();
	noteLeaving(endpoint, leaving, parts);
	if (status === turnedAwayStatus && retryAfterMilliseconds !== undefined) {
		backoff.start(endpoint, now + retryAfterMilliseconds);
		countSignal(endpoint.service, 'backoff');
		logger.info('endpoint asks to back off', {endpoint: endpoint.id, startedAt: endpoint.startedAt, milliseconds: retryAfterMilliseconds});
	}
}

/**
 * Remembers that an endpoint leaves, where it says so.
 *
 * @param endpoint The endpoint that answered.
 * @param leaving Whether it says that it leaves.
 * @param parts The router's other parts.
 */
export function noteLeaving(endpoint: EndpointEntry, leaving: boolean, {endpoints, logger, clock, countSignal}: ForwardingParts): void {
	if (leaving && endpoints.markLeaving(endpoint, clock())) {
		countSignal(endpoint.service, 'leaving');
		logger.info('endpoint says that it leaves', {endpoint: endpoint.id, startedAt: endpoint.startedAt});
	}
}

/**
 * Returns the endpoints of a service that may be used now: those that do not ask to back off.
 *
 * @param service Name of the service.
 * @param parts The router's other parts.
 */
export function usableEndpoints(service: string, {endpoints, backoff, clock}: ForwardingParts): readonly EndpointEntry[] {
	const now = clock();
	return backoff.partition(endpoints.endpointsOf(service, now), now).usable;
}

/**
 * Returns when a caller may come back that no endpoint served: once the first one takes requests again, where all ask to back off.
 *
 * @param service Name of the service.
 * @param otherwiseMilliseconds Time to come back in the other case, in milliseconds.
 * @param parts The router's other parts.
 * @returns Milliseconds.
 */
export function comeBackAfter(service: string, otherwiseMilliseconds: number, {endpoints, backoff, clock}: ForwardingParts): number {
	const now = clock();
	const {usable, earliestEnd: firstEnd} = backoff.partition(endpoints.endpointsOf(service, now), now);
	return usable.length === 0 && firstEnd !== undefined ? Math.max(shortestMilliseconds, firstEnd - now) : otherwiseMilliseconds;
}
