/**
 * The platform's list of live and leaving hosts, the answer of `GET /hosts`.
 *
 * @module
 */
import * as z from 'zod';

/** One host: an entry host of the system, a host of endpoints, or both. */
export const hostSchema = z.object({
	name: z.string(),
	availabilityZone: z.string(),
	region: z.string().default('home'),
	state: z.enum(['live', 'leaving']),
	/** Addresses of the router on an entry host. */
	entry: z.object({callers: z.string(), peers: z.string(), operators: z.string()}).optional(),
	/** Endpoints on the host: the service that each serves, and its `address:port`. */
	endpoints: z.array(z.object({service: z.string(), address: z.string()})).default([]),
});

/** Answer of `GET /hosts`. */
export const hostListSchema = z.object({hosts: z.array(hostSchema)});

/** One host of the list. */
export type Host = z.infer<typeof hostSchema>;
