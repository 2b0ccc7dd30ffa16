/**
 * Looks for spans in which more requests reach an endpoint than the limit that it named allows.
 *
 * @module
 */

/** A limit from the moment at which an endpoint names it, in requests a second; absent from the moment at which it names none. */
export type NamedLimit = {at: number; limit: number | undefined};

/** Requests of one span, and how many of them are allowed. */
export type LimitExcess = {from: number; requests: number; allowed: number};

/** Length of a span, in milliseconds. */
export const limitSpanMilliseconds = 4000;

/** Share of what the limit allows in a span that may reach the endpoint. */
const allowedShare = 1.5;

/** Requests that may reach it beyond that. */
const allowedRest = 5;

/** Time within which gateways must follow a change of the limit, in milliseconds. */
const changeMilliseconds = 1000;

/** Steps in which a span is summed up, in milliseconds. */
const stepMilliseconds = 50;

/**
 * Returns the first span with more requests than are allowed.
 *
 * @param arrivals When requests reached the endpoint, in milliseconds.
 * @param named The limits that it named, in order.
 * @param contactMilliseconds Time from the first limit after which spans count, in milliseconds.
 */
export function findLimitExcess(arrivals: readonly number[], named: readonly NamedLimit[], contactMilliseconds: number): LimitExcess | undefined {
	const first = named.find(({limit}) => limit !== undefined);
	const counted = first === undefined ? [] : arrivals.filter(at => at >= first.at + contactMilliseconds);
	for (const from of counted) {
		const excess = {from, requests: counted.filter(at => at >= from && at < from + limitSpanMilliseconds).length, allowed: allowedFrom(from, named)};
		if (excess.requests > excess.allowed) {
			return excess;
		}
	}

	return undefined;
}

function allowedFrom(from: number, named: readonly NamedLimit[]): number {
	let requests = 0;
	for (let at = from; at < from + limitSpanMilliseconds; at += stepMilliseconds) {
		const limit = Math.max(limitAt(at, named), limitAt(at - changeMilliseconds, named));
		requests += limit * stepMilliseconds / 1000;
	}

	return (allowedShare * requests) + allowedRest;
}

function limitAt(at: number, named: readonly NamedLimit[]): number {
	return named.findLast(change => change.at <= at)?.limit ?? Number.POSITIVE_INFINITY;
}
