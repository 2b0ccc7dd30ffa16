/**
 * Settings of a host's resources.
 *
 * @module
 */
import * as z from 'zod';

/** Schema of the resources of a host that a process may use. */
export const hostResourcesSchema = z.object({
	/** Memory, in megabytes. */
	memoryMegabytes: z.number().positive().default(186),
	/** Descriptors of files and connections. */
	descriptors: z.number().int().positive().default(2048),
}).prefault({});
