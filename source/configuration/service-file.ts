/**
 * Schemas of the files that operators write: one for each service, and those that name workspaces.
 *
 * @module
 */
import * as z from 'zod';

const nameSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'expected lower-case letters, digits and dashes');

/** How a generation is continued after a loss. */
export const recoverySchema = z.strictObject({
	/** `latency` continues at once; `cost` spends as little extra work as it can. */
	policy: z.enum(['latency', 'cost']).default('latency'),
	/** Time without an event after which a stream counts as silent. Default by policy. */
	silenceMilliseconds: z.number().int().positive().optional(),
}).prefault({});

/** A service of model engines. */
export const modelServiceSchema = z.strictObject({
	service: nameSchema,
	kind: z.literal('model'),
	model: z.strictObject({
		name: z.string().min(1),
		version: z.string().min(1),
		adapter: z.string().min(1).optional(),
	}),
	recovery: recoverySchema,
	/** Time that a caller waits for its whole answer at most. */
	deadlineSeconds: z.number().positive().default(600),
	/** Largest `max_tokens` of a request. */
	largestOutputTokens: z.number().int().positive().default(8192),
	/** Tokens in progress that one engine takes, the start of its adaptive limit. */
	engineTokens: z.number().int().positive().default(65_536),
	/** Priority sent to the engines; a lower number runs first. */
	priority: z.number().int().default(0),
	/** Whether the engines refuse an order with an old fencing number. */
	enginesCheckFencing: z.boolean().default(false),
});

/** A plain service beside the engines. */
export const plainServiceSchema = z.strictObject({
	service: nameSchema,
	kind: z.literal('plain'),
	/** Calls that may be repeated, by method and path prefix; all others run at most once. */
	idempotentCalls: z.array(z.strictObject({
		method: z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST']),
		path: z.string().startsWith('/'),
	})).default([]),
	/** Time for one call. */
	deadlineSeconds: z.number().positive().default(10),
	/** Whether slow idempotent calls are sent to a second endpoint. */
	hedge: z.boolean().default(true),
	/** Calls in progress that one endpoint takes. */
	endpointCalls: z.number().int().positive().default(64),
});

/** A service file, `*.service.jsonc`. */
export const serviceFileSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema]);

/** One workspace: its name, the SHA-256 digests of its keys and its share. */
export const workspaceSchema = z.strictObject({
	workspace: nameSchema,
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest in hexadecimal')).min(1),
	/** Share of capacity relative to the other workspaces. */
	weight: z.number().positive().default(1),
});

/** A workspaces file, `*.workspaces.jsonc`. */
export const workspacesFileSchema = z.strictObject({workspaces: z.array(workspaceSchema).min(1)});

/** A service of model engines. */
export type ModelService = z.output<typeof modelServiceSchema>;

/** A plain service. */
export type PlainService = z.output<typeof plainServiceSchema>;

/** Any service. */
export type Service = z.output<typeof serviceFileSchema>;

/** One workspace. */
export type Workspace = z.output<typeof workspaceSchema>;
