/**
 * Gateways as they tell each other of themselves.
 *
 * @module
 */
import * as z from 'zod';

/** Schema of one gateway. */
export const memberSchema = z.object({
	/** Name of the host. */
	name: z.string().min(1),
	availabilityZone: z.string(),
	region: z.string(),
	/** Address for callers. */
	callers: z.string(),
	/** Address for other gateways. */
	peers: z.string(),
	/** Unix milliseconds of the process's start; tells two processes of one host apart. */
	incarnation: z.number(),
	/** Rises while the process lives. */
	heartbeat: z.number(),
	/** Whether it takes requests. */
	ready: z.boolean(),
});

/** One gateway. */
export type Member = z.output<typeof memberSchema>;

/** What lies in the store of a gateway, so that others find it. */
export const registeredMemberSchema = memberSchema.omit({heartbeat: true, ready: true});

/** A gateway as it lies in the store. */
export type RegisteredMember = z.output<typeof registeredMemberSchema>;

/** Schema of the state of a gateway that both sides may know already: name, incarnation, heartbeat, and whether it takes requests. */
export const heartbeatSchema = z.tuple([z.string(), z.number(), z.number(), z.boolean()]);

/** State of a gateway, without what stays the same while its process lives. */
export type Heartbeat = z.output<typeof heartbeatSchema>;
