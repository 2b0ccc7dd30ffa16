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
 * Remembers that an endpoint leaves, or wants to be left alone for a while.
 *
 * Both hold for the life of the endpoint that said it, whatever the store's list says, since the endpoint knows better and sooner.
 *
 * @param endpoint The endpoint that answered.
 * @param answer Status and terms of its answer.
 * @param parts The router's other parts.
 */
export function obeyWishes(endpoint: EndpointEntry, {status, terms: {leaving, retryAfterMilliseconds}}: {status: number; terms: AnswerTerms}, parts: ForwardingParts): void {
	const {quiet, logger, clock, countWish} = parts;
	const now = clock();
	obeyLeaving(endpoint, leaving, parts);
	if (status === turnedAwayStatus && retryAfterMilliseconds !== undefined) {
		quiet.leave(endpoint, now + retryAfterMilliseconds);
		countWish(endpoint.service, 'quiet');
		logger.info('endpoint wants to be left alone', {endpoint: endpoint.id, startedAt: endpoint.startedAt, milliseconds: retryAfterMilliseconds});
	}
}

/**
 * Remembers that an endpoint leaves, where it says so.
 *
 * @param endpoint The endpoint that answered.
 * @param leaving Whether it says that it leaves.
 * @param parts The router's other parts.
 */
export function obeyLeaving(endpoint: EndpointEntry, leaving: boolean, {endpoints, logger, clock, countWish}: ForwardingParts): void {
	if (leaving && endpoints.markLeaving(endpoint, clock())) {
		countWish(endpoint.service, 'leaving');
		logger.info('endpoint says that it leaves', {endpoint: endpoint.id, startedAt: endpoint.startedAt});
	}
}

/**
 * Returns the endpoints of a service that may be used now: those that do not want to be left alone.
 *
 * @param service Name of the service.
 * @param parts The router's other parts.
 */
export function usableEndpoints(service: string, {endpoints, quiet, clock}: ForwardingParts): readonly EndpointEntry[] {
	const now = clock();
	return quiet.divide(endpoints.endpointsOf(service, now), now).usable;
}

/**
 * Returns when a caller may come back that no endpoint served: once the first one takes requests again, where all want to be left alone.
 *
 * @param service Name of the service.
 * @param otherwiseMilliseconds Time to come back in the other case, in milliseconds.
 * @param parts The router's other parts.
 * @returns Milliseconds.
 */
export function comeBackAfter(service: string, otherwiseMilliseconds: number, {endpoints, quiet, clock}: ForwardingParts): number {
	const now = clock();
	const {usable, firstEnd} = quiet.divide(endpoints.endpointsOf(service, now), now);
	return usable.length === 0 && firstEnd !== undefined ? Math.max(shortestMilliseconds, firstEnd - now) : otherwiseMilliseconds;
}
