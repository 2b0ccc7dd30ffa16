/**
 * Schemas of the files that operators write: service files and workspaces files.
 *
 * @module
 */
import * as z from 'zod';

const nameSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'expected lower-case letters, digits and dashes');

/** How a generation is resumed after a failure. */
export const recoverySchema = z.strictObject({
	/** `latency` resumes immediately; `cost` minimizes the extra work. */
	policy: z.enum(['latency', 'cost']).default('latency'),
	/** Time without an event after which a stream counts as stalled. The default depends on the policy. */
	silenceMilliseconds: z.number().int().positive().optional(),
}).prefault({});

/** A service that runs on model engines. */
export const modelServiceSchema = z.strictObject({
	service: nameSchema,
	kind: z.literal('model'),
	model: z.strictObject({
		name: z.string().min(1),
		version: z.string().min(1),
		adapter: z.string().min(1).optional(),
	}),
	recovery: recoverySchema,
	/** Maximum time for a complete response to a caller. */
	deadlineSeconds: z.number().positive().default(600),
	/** Maximum `max_tokens` of a request. */
	largestOutputTokens: z.number().int().positive().default(8192),
	/** Initial value of the adaptive limit of tokens in progress on one engine. */
	engineTokens: z.number().int().positive().default(65_536),
	/** Priority sent to the engines; lower numbers run first. */
	priority: z.number().int().default(0),
	/** Whether the engines reject orders with an outdated fencing number. */
	enginesCheckFencing: z.boolean().default(false),
});

/** A plain service: ordinary calls without model engines. */
export const plainServiceSchema = z.strictObject({
	service: nameSchema,
	kind: z.literal('plain'),
	/** Calls that may be retried, by method and path prefix; all others run at most once. */
	idempotentCalls: z.array(z.strictObject({
		method: z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST']),
		path: z.string().startsWith('/'),
	})).default([]),
	/** Maximum time for one call. */
	deadlineSeconds: z.number().positive().default(10),
	/** Whether slow idempotent calls are sent to a second endpoint. */
	hedge: z.boolean().default(true),
	/** Limit of concurrent calls on one endpoint. */
	endpointCalls: z.number().int().positive().default(64),
});

/** A service file, `*.service.jsonc`. */
export const serviceFileSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema]);

/** One workspace: its name, the SHA-256 digests of its keys and its weight. */
export const workspaceSchema = z.strictObject({
	workspace: nameSchema,
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest in hexadecimal')).min(1),
	/** Share of capacity relative to the other workspaces. */
	weight: z.number().positive().default(1),
});

/** A workspaces file, `*.workspaces.jsonc`. */
export const workspacesFileSchema = z.strictObject({workspaces: z.array(workspaceSchema).min(1)});

/** A service that runs on model engines. */
export type ModelService = z.output<typeof modelServiceSchema>;

/** A plain service. */
export type PlainService = z.output<typeof plainServiceSchema>;

/** Any service. */
export type Service = z.output<typeof serviceFileSchema>;

/** One workspace. */
export type Workspace = z.output<typeof workspaceSchema>;
