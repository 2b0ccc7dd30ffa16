/**
 * Schemas of the messages that model engines receive and send.
 *
 * @module
 */
import * as z from 'zod';

/** Body of `POST /v1/completions` on an engine. */
export const engineRequestSchema = z.object({
	generation: z.string(),
	attempt: z.number().int().positive(),
	model: z.string(),
	version: z.string(),
	adapter: z.string().optional(),
	prompt: z.string(),
	/** Text of the tokens before `start_index`, which the engine treats as already generated. */
	text_so_far: z.string().default(''),
	start_index: z.number().int().nonnegative().default(0),
	/** Maximum number of tokens of the whole completion, counted from index 0. */
	max_tokens: z.number().int().positive(),
	seed: z.number().int(),
	priority: z.number().int().default(0),
});

/** First event of a stream: the tokens that the engine has to prefill before it can generate. */
export const startedEventSchema = z.object({
	event: z.literal('started'),
	state: z.enum(['queued', 'running']),
	prefill_tokens: z.number().int(),
	cached_tokens: z.number().int(),
});

/** One token. */
export const tokenEventSchema = z.object({
	event: z.literal('token'),
	index: z.number().int(),
	text: z.string(),
});

/** Last event of a complete stream. */
export const finishedEventSchema = z.object({
	event: z.literal('finished'),
	finish_reason: z.string(),
	total_tokens: z.number().int(),
});

/** Last event of a stream that ends before the completion does. */
export const stoppedEventSchema = z.object({
	event: z.literal('stopped'),
	reason: z.enum(['superseded', 'cancelled', 'draining']),
});

/** Any event of a stream. */
export const engineEventSchema = z.discriminatedUnion('event', [
	startedEventSchema, tokenEventSchema, finishedEventSchema, stoppedEventSchema,
]);

/** Response of an engine that refuses a stream: 404 unknown generation, 409 other version or newer attempt, 503 no capacity. */
export const engineErrorSchema = z.object({
	error: z.object({
		code: z.enum(['unknown_generation', 'version_mismatch', 'superseded', 'overloaded', 'draining', 'old_fencing_number', 'bad_request']),
		message: z.string(),
	}),
});

/** Body of `POST /v1/generations/GENERATION/cancel`; refused when a newer attempt runs. */
export const cancelSchema = z.object({attempt: z.number().int().positive()});

/** Response to `GET /v1/load`; may be several seconds old. */
export const loadSchema = z.object({
	running: z.number().int(),
	waiting: z.number().int(),
	tokens_in_progress: z.number().int(),
	capacity_tokens: z.number().int(),
	measured_at: z.number(),
	role: z.string(),
	models: z.array(z.object({model: z.string(), version: z.string(), adapters: z.array(z.string())})),
});

/** Body of `POST /v1/orders`: the complete desired state of one engine. */
export const orderSchema = z.object({
	fencing_number: z.number().int().nonnegative(),
	role: z.string().optional(),
	models: z.array(z.object({model: z.string(), version: z.string(), adapters: z.array(z.string())})),
});

/** Response to `GET /v1/cache_events?after=SEQUENCE`; sequences may have gaps and arrive late. */
export const cacheEventsSchema = z.object({
	events: z.array(z.object({
		sequence: z.number().int(),
		kind: z.enum(['stored', 'evicted']),
		/** Digest of the prompt's first block, as `prefixKey` computes it. */
		prefix: z.string(),
	})),
});

/** A request to an engine. */
export type EngineRequest = z.output<typeof engineRequestSchema>;

/** One event of an engine's stream. */
export type EngineEvent = z.infer<typeof engineEventSchema>;

/** Code of an engine's refusal. */
export type EngineErrorCode = z.infer<typeof engineErrorSchema>['error']['code'];

/** Load of an engine as it reported it. */
export type EngineLoad = z.infer<typeof loadSchema>;

/** An order to an engine. */
export type EngineOrder = z.infer<typeof orderSchema>;

/** Cache events as an engine published them. */
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
