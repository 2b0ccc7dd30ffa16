/**
 * Lease of a duty: one table row, held by one router at a time.
 *
 * @module
 */
import * as z from 'zod';

/** Value of a lease's row. */
export const leaseSchema = z.object({
	/** Host and incarnation of the router that holds the lease. */
	holder: z.string(),
	/** Increases by one with each new holder. */
	fencingNumber: z.number().int().positive(),
	/** Time at which the lease expires without a renewal, by the wall clock of the holder, in milliseconds; only a hint for other routers. */
	expiresAt: z.number(),
	/** Time for which other routers must observe the row unchanged, by their own monotonic clocks, before they acquire the lease, in milliseconds. */
	termMilliseconds: z.number().positive(),
	/** Unique token of the last write; a changed one shows a renewal. */
	token: z.string(),
});

/** A lease as stored. */
export type Lease = z.output<typeof leaseSchema>;

/** Table of the leases, keyed by the name of the duty. */
export const leaseTable = 'lease';

/**
 * Returns the name of the duty that manages the engines of a service.
 *
 * @param service Name of the service.
 */
export function engineDuty(service: string): string {
	return `engines/${service}`;
}
