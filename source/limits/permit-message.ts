/**
 * Messages by which a gateway requests a permit from the gateway that grants them.
 *
 * @module
 */
import * as z from 'zod';
import {endpointIncarnationSchema} from '../registry/mod.ts';

/** Time after its request within which a permit may be used, in milliseconds; an unused one expires. */
export const permitLifetimeMilliseconds = 500;

/** Schema of a request for a permit, or of a report without one. */
export const permitRequestSchema = z.object({
	endpoint: endpointIncarnationSchema,
	/** Importance of the request that needs the permit, 0 is the highest; absent if only a change is reported. */
	importance: z.number().nonnegative().optional(),
	/** A change of the limit that the sender has seen. */
	change: z.object({
		/** The new limit; absent if a response named none. */
		requestsPerSecond: z.number().positive().optional(),
		/** Time since the response arrived, or since its request was sent if it named none, in milliseconds. */
		ageMilliseconds: z.number().nonnegative(),
	}).optional(),
});

/** Schema of the reply. */
export const permitReplySchema = z.object({
	/** Whether the replying gateway grants the permits of this endpoint. */
	holds: z.boolean(),
	granted: z.boolean(),
	/** Limit in force, in requests per second; 0 if the replying gateway does not grant the permits. */
	requestsPerSecond: z.number(),
	/** Time for which the sender should not request another permit, in milliseconds. */
	askAgainMilliseconds: z.number(),
	/** Time after which a rejected caller may retry, in milliseconds. */
	returnInMilliseconds: z.number(),
	/** Present if the replying gateway knows that the limit was lifted: time since it was, in milliseconds. */
	liftedMillisecondsAgo: z.number().nonnegative().optional(),
});

/** A request for a permit, or a report. */
export type PermitRequest = z.output<typeof permitRequestSchema>;

/** The reply to it. */
export type PermitReply = z.output<typeof permitReplySchema>;

/** A change of the limit that a gateway has seen. */
export type LimitObservation = NonNullable<PermitRequest['change']>;
