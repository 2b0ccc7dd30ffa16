/**
 * The lease of a duty: one row of the table, held by one router at a time.
 *
 * @module
 */
import * as z from 'zod';

/** Value of a lease's row. */
export const leaseSchema = z.object({
	/** Host and incarnation of the router that holds the lease. */
	holder: z.string(),
	/** Rises by one with each new holder. */
	fencingNumber: z.number().int().positive(),
	/** Wall-clock time of the holder at which the lease expires without a renewal, in milliseconds; a hint for others. */
	expiresAt: z.number(),
	/** Time for which others must see the row unchanged, by their own monotonic clock, before they take the lease, in milliseconds. */
	termMilliseconds: z.number().positive(),
	/** Token of the last write, by which a lost answer is settled and a renewal is seen. */
	token: z.string(),
});

/** A lease as stored. */
export type Lease = z.output<typeof leaseSchema>;

/** Table of the leases; the key is the duty's name. */
export const leaseTable = 'lease';

/**
 * Returns the name of the duty of ordering one service's engines.
 *
 * @param service Name of the service.
 */
export function engineDuty(service: string): string {
	return `engines/${service}`;
}
