/**
 * Registered endpoints, their incarnations, and how gateways send changes of them to each other.
 *
 * @module
 */
import * as z from 'zod';

/** One endpoint as it registered itself. */
export const endpointEntrySchema = z.object({
	/** Name of the endpoint; in most cases unique to one incarnation. */
	id: z.string(),
	service: z.string(),
	/** IP address and port. */
	address: z.string(),
	availabilityZone: z.string(),
	/** Number of requests that it processes concurrently. */
	slots: z.number(),
	/** Whether it is shutting down and accepts no new requests. */
	leaving: z.boolean(),
	/** Start time of its process, in Unix milliseconds; 0 if the endpoint does not report it. */
	startedAt: z.number(),
	/** Version of its software; absent if the endpoint does not report it. */
	version: z.string().optional(),
});

/** A change of the list: a new or updated entry, or a removal when `entry` is absent. */
export const endpointChangeSchema = z.object({
	id: z.string(),
	entry: endpointEntrySchema.optional(),
	/** Entry that follows the removal after a time in milliseconds, unless a newer change is received. */
	upcoming: z.object({entry: endpointEntrySchema, inMilliseconds: z.number()}).optional(),
	revision: z.number(),
});

/** One endpoint as it registered itself. */
export type EndpointEntry = z.output<typeof endpointEntrySchema>;

/** State of one incarnation of an endpoint: listed, leaving, replaced by another incarnation with the same id, or removed. */
export type IncarnationState = 'listed' | 'leaving' | 'replaced' | 'removed';

/** A change of the list. */
export type EndpointChange = z.output<typeof endpointChangeSchema>;

/** Identifies one incarnation of an endpoint: one run of its process. */
export const endpointIncarnationSchema = endpointEntrySchema.pick({id: true, startedAt: true});

/** One incarnation of an endpoint. */
export type EndpointIncarnation = z.output<typeof endpointIncarnationSchema>;

/** Returns a text that differs for each incarnation of each endpoint, as a key of maps and sets. */
export function incarnationKey({id, startedAt}: EndpointIncarnation): string {
	return `${id}/${startedAt}`;
}

/** An incarnation that has announced that it is leaving, and the time since then, as gateways send it to each other. */
export const leavingIncarnationSchema = endpointIncarnationSchema.extend({ageMilliseconds: z.number()});

/** An incarnation that has announced that it is leaving. */
export type LeavingIncarnation = z.output<typeof leavingIncarnationSchema>;
