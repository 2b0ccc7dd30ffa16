/**
 * How a step names a process.
 *
 * @module
 */
import * as z from 'zod';

/** A process: by name, or the one that now serves a request as its engine or entry. */
export const processSchema = z.union([
	z.string(),
	z.strictObject({engineOf: z.string()}),
	z.strictObject({entryOf: z.string()}),
]);

/** A process as a step names it. */
export type ProcessReference = z.output<typeof processSchema>;
