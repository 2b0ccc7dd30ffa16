/**
 * Schemas of the records that gateways exchange about themselves.
 *
 * @module
 */
import * as z from 'zod';

/** Schema of the record of one gateway. */
export const memberSchema = z.object({
	/** Host name. */
	name: z.string().min(1),
	availabilityZone: z.string(),
	region: z.string(),
	/** Address that serves callers. */
	callers: z.string(),
	/** Address that serves other gateways. */
	peers: z.string(),
	/** Start time of the process, in Unix milliseconds; distinguishes two processes of one host. */
	incarnation: z.number(),
	/** Counter that increases while the process runs. */
	heartbeat: z.number(),
	/** Whether it accepts requests. */
	ready: z.boolean(),
});

/** Record of one gateway. */
export type Member = z.output<typeof memberSchema>;

/** Schema of the registration of a gateway in the store, through which other gateways discover it. */
export const registeredMemberSchema = memberSchema.omit({heartbeat: true, ready: true});

/** Registration of a gateway in the store. */
export type RegisteredMember = z.output<typeof registeredMemberSchema>;

/** Schema of the changing state of a gateway whose record both sides may have: name, incarnation, heartbeat, and whether it accepts requests. */
export const heartbeatSchema = z.tuple([z.string(), z.number(), z.number(), z.boolean()]);

/** State of a gateway without the fields that are constant during an incarnation. */
export type Heartbeat = z.output<typeof heartbeatSchema>;
