/**
 * Messages of the model engines, as the client sends and reads them.
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
	/** Text of the tokens before `start_index`, which the engine takes as already generated. */
	text_so_far: z.string().default(''),
	start_index: z.number().int().nonnegative().default(0),
	/** Tokens of the whole answer at most, counted from index 0. */
	max_tokens: z.number().int().positive(),
	seed: z.number().int(),
	priority: z.number().int().default(0),
});

/** First event of a stream: what the engine had to compute before it could go on. */
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

/** Last event of a whole answer. */
export const finishedEventSchema = z.object({
	event: z.literal('finished'),
	finish_reason: z.string(),
	total_tokens: z.number().int(),
});

/** Last event of a stream that ends without the answer's end. */
export const stoppedEventSchema = z.object({
	event: z.literal('stopped'),
	reason: z.enum(['superseded', 'cancelled', 'draining']),
});

/** Any event of a stream. */
export const engineEventSchema = z.discriminatedUnion('event', [
	startedEventSchema, tokenEventSchema, finishedEventSchema, stoppedEventSchema,
]);

/** Answer of an engine that takes no stream: 404 unknown generation, 409 other version or newer attempt, 503 no capacity. */
export const engineErrorSchema = z.object({
	error: z.object({
		code: z.enum(['unknown_generation', 'version_mismatch', 'superseded', 'overloaded', 'draining', 'old_fencing_number', 'bad_request']),
		message: z.string(),
	}),
});

/** Body of `POST /v1/generations/GENERATION/cancel`; refused when a newer attempt runs. */
export const cancelSchema = z.object({attempt: z.number().int().positive()});

/** Answer of `GET /v1/load`, late by up to some seconds. */
export const loadSchema = z.object({
	running: z.number().int(),
	waiting: z.number().int(),
	tokens_in_progress: z.number().int(),
	capacity_tokens: z.number().int(),
	measured_at: z.number(),
	role: z.string(),
	models: z.array(z.object({model: z.string(), version: z.string(), adapters: z.array(z.string())})),
});

/** Body of `POST /v1/orders`: the state wanted of one engine, whole. */
export const orderSchema = z.object({
	fencing_number: z.number().int().nonnegative(),
	role: z.string().optional(),
	models: z.array(z.object({model: z.string(), version: z.string(), adapters: z.array(z.string())})),
});

/** Answer of `GET /v1/cache_events?after=SEQUENCE`; sequences may have gaps and come late. */
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
