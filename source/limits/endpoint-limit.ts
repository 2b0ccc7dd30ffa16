/**
 * Limits on the request rate that endpoints name for all gateways together, and how they are stored.
 *
 * @module
 */
import * as z from 'zod';

/** What a response of an endpoint states about its limit. */
export type NamedLimit
	= | {kind: 'none'}
		| {kind: 'limit'; requestsPerSecond: number}
	/** The header cannot be parsed; such a response neither names nor lifts a limit. */
		| {kind: 'unreadable'; text: string};

/** Schema of the gateway process that grants the permits of a limited endpoint. */
export const permitHolderSchema = z.object({
	/** Host name of the gateway. */
	name: z.string(),
	/** Start time of the process, in Unix milliseconds. */
	incarnation: z.number(),
	/** Address that serves other gateways. */
	peers: z.string(),
});

/** Schema of a limit as all gateways follow it. */
export const publishedLimitSchema = z.object({
	/** Start time of the endpoint's process that named the limit, in Unix milliseconds. */
	startedAt: z.number(),
	requestsPerSecond: z.number(),
	holder: permitHolderSchema,
});

/** Schema of the right to grant the permits of a limited endpoint. */
export const limitLeaseSchema = z.object({
	startedAt: z.number(),
	holder: permitHolderSchema,
	/** The store's time at which the lease was acquired or renewed, in milliseconds. */
	leasedAt: z.number(),
	/** Era of the store in which it was. */
	era: z.number().default(0),
});

/** Schema of a change of a published limit; without a limit, it was lifted. */
export const limitChangeSchema = z.object({key: z.string(), content: publishedLimitSchema.optional(), revision: z.number()});

/** The gateway process that grants the permits of a limited endpoint. */
export type PermitHolder = z.output<typeof permitHolderSchema>;

/** A limit as all gateways follow it. */
export type PublishedLimit = z.output<typeof publishedLimitSchema>;

/** The right to grant the permits of a limited endpoint. */
export type LimitLease = z.output<typeof limitLeaseSchema>;

/** Lowest rate at which a limited endpoint is used, in requests per second, so that a lifted limit is noticed within seconds. */
const minimumRequestsPerSecond = 0.25;

/** Rate from which a limit is not enforced, in requests per second; no endpoint is sent that many requests. */
const unlimitedRequestsPerSecond = 10_000;

/** Decimal number without sign or exponent. */
const decimalPattern = /^(?:\d+(?:\.\d*)?|\.\d+)$/v;

/**
 * Parses a limit. Several values, separated by commas, count as the lowest one.
 *
 * @param text Value of the header; undefined if the response has none.
 * @example
 * ```ts
 * parseLimit('1.5'); // {kind: 'limit', requestsPerSecond: 1.5}
 * ```
 */
export function parseLimit(text: string | undefined): NamedLimit {
	if (text === undefined) {
		return {kind: 'none'};
	}

	const values = text.split(',').map(value => value.trim());
	if (values.some(value => !decimalPattern.test(value))) {
		return {kind: 'unreadable', text};
	}

	const requestsPerSecond = Math.min(...values.map(Number));
	return requestsPerSecond >= unlimitedRequestsPerSecond ? {kind: 'none'} : {kind: 'limit', requestsPerSecond: Math.max(requestsPerSecond, minimumRequestsPerSecond)};
}

/** Whether two records denote the same gateway process. */
export function isSameHolder(one: PermitHolder, other: PermitHolder): boolean {
	return one.name === other.name && one.incarnation === other.incarnation;
}
