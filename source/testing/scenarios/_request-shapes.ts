/**
 * Fields of the steps that send requests.
 *
 * @module
 */
import * as z from 'zod';

/** Fields of a `generate` step. */
export const generationShape = {
	/** Name by which later steps refer to the request. */
	name: z.string(),
	service: z.string(),
	prompt: z.string().optional(),
	tokens: z.number().int().positive().default(150),
	seed: z.number().int().default(7),
	/** Router that the caller asks first. Default any. */
	entry: z.string().optional(),
	workspace: z.string().default('test'),
	/** Time that the caller waits for the whole answer. */
	deadlineSeconds: z.number().positive().default(60),
};

/** Fields of a `call` step. */
export const callShape = {
	name: z.string(),
	service: z.string(),
	method: z.enum(['GET', 'POST', 'PUT', 'DELETE']).default('POST'),
	path: z.string().startsWith('/').default('/'),
	idempotencyKey: z.string().optional(),
	body: z.unknown().optional(),
	/** Router that receives the call. Default the first. */
	entry: z.string().optional(),
	workspace: z.string().default('test'),
	deadlineSeconds: z.number().positive().default(20),
};

/** Checked fields of a `generate` step. */
export type GenerationInput = z.output<z.ZodObject<typeof generationShape>>;

/** Checked fields of a `call` step. */
export type CallInput = z.output<z.ZodObject<typeof callShape>>;
