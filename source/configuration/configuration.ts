/**
 * Schema of a complete version of the configuration.
 *
 * @module
 */
import * as z from 'zod';
import {serviceFileSchema, workspaceSchema} from './service-file.ts';

/** Schema shared by the publisher and the routers. */
export const configurationSchema = z.object({
	/** Incremented by one with each accepted publication. */
	version: z.number().int().positive(),
	services: z.array(serviceFileSchema),
	workspaces: z.array(workspaceSchema),
});

/** A complete version of the configuration. */
export type Configuration = z.output<typeof configurationSchema>;
