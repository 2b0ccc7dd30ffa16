/**
 * One version of the configuration, whole.
 *
 * @module
 */
import * as z from 'zod';
import {serviceFileSchema, workspaceSchema} from './service-file.ts';

/** Schema shared by the publisher and the routers. */
export const configurationSchema = z.object({
	/** Rises by one with each accepted publication. */
	version: z.number().int().positive(),
	services: z.array(serviceFileSchema),
	workspaces: z.array(workspaceSchema),
});

/** One version of the configuration. */
export type Configuration = z.output<typeof configurationSchema>;
