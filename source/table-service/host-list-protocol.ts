/**
 * The platform's list of live and leaving hosts, the response of `GET /hosts`.
 *
 * @module
 */
import * as z from 'zod';

/** A host that runs a router, endpoints, or both. */
export const hostSchema = z.object({
	name: z.string(),
	availabilityZone: z.string(),
	region: z.string().default('home'),
	state: z.enum(['live', 'leaving']),
	/** Addresses of the router on an entry host. */
	entry: z.object({callers: z.string(), peers: z.string(), operators: z.string()}).optional(),
	/** Endpoints on the host, each with its service and `address:port`. */
	endpoints: z.array(z.object({service: z.string(), address: z.string()})).default([]),
});

/** Response of `GET /hosts`. */
export const hostListSchema = z.object({hosts: z.array(hostSchema)});

/** A host on the list. */
export type Host = z.infer<typeof hostSchema>;
