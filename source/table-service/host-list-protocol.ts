/**
 * The platform's list of live and leaving hosts, the response of `GET /hosts`.
 *
 * @module
 */
import * as z from 'zod';

/** An `address:port` that a connection can be opened to. */
const addressSchema = z.string().refine(canConnectTo, 'no address and port that a connection can be opened to');

/** A host that runs a router, endpoints, or both. */
export const hostSchema = z.object({
	name: z.string(),
	availabilityZone: z.string(),
	region: z.string().default('home'),
	state: z.enum(['live', 'leaving']),
	/** Addresses of the router on an entry host. */
	entry: z.object({callers: addressSchema, peers: addressSchema, operators: addressSchema}).optional(),
	/** Endpoints on the host, each with its service and `address:port`. */
	endpoints: z.array(z.object({service: z.string(), address: addressSchema})).default([]),
});

/** A list of hosts, none of which is odd. */
export const hostListSchema = z.object({hosts: z.array(hostSchema)});

/** Response of `GET /hosts`; another writer may have left an odd host among the others. */
export const writtenHostListSchema = z.object({hosts: z.array(z.unknown())});

/** A host on the list. */
export type Host = z.infer<typeof hostSchema>;

/** Hosts of a written list, and why others were skipped. */
export type DecodedHosts = {hosts: Host[]; skipped: string[]};

/**
 * Decodes the hosts of a list one by one, so that an odd one hides no other.
 *
 * @param written Hosts as they were written.
 * @example
 * ```ts
 * decodeHosts([{name: 'host-1', availabilityZone: 'a', state: 'live'}, {}]).skipped.length; // 1
 * ```
 */
export function decodeHosts(written: readonly unknown[]): DecodedHosts {
	const decoded: DecodedHosts = {hosts: [], skipped: []};
	for (const [index, host] of written.entries()) {
		const checked = hostSchema.safeParse(host);
		if (checked.success) {
			decoded.hosts.push(checked.data);
		} else {
			const [issue] = checked.error.issues;
			decoded.skipped.push(`host ${index}, field ${issue?.path.join('.')}: ${issue?.message}`);
		}
	}

	return decoded;
}

function canConnectTo(address: string): boolean {
	const text = `http://${address}`;
	return URL.canParse(text) && new URL(text).port !== '0' && new URL(text).pathname === '/';
}
