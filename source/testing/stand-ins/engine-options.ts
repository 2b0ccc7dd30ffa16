/**
 * Options and work counters of an engine stand-in.
 *
 * @module
 */
import * as z from 'zod';

/** Options of one engine stand-in. */
export const engineOptionsSchema = z.object({
	listen: z.string(),
	model: z.string().default('model'),
	version: z.string().default('v1'),
	adapters: z.array(z.string()).default([]),
	/** Time of one decoding step of the whole batch. */
	stepMilliseconds: z.number().positive().default(10),
	/** Time to prefill one token that is not cached. */
	prefillMillisecondsPerToken: z.number().default(0.1),
	/** Generations decoded together; others wait. */
	batchSize: z.number().int().positive().default(32),
	cacheBlocks: z.number().int().positive().default(4096),
	/** Time for which a generation without a connection can be resumed. */
	keepMilliseconds: z.number().default(10_000),
	/** Whether orders with an old fencing number are refused. */
	checksFencing: z.boolean().default(true),
	/** Time by which load and cache events lag. */
	lagMilliseconds: z.number().default(500),
	/** Share of cache events that are lost. */
	cacheEventLoss: z.number().min(0).max(1).default(0),
	/** The engine's process ends while it generates for a prompt that contains this text. */
	crashText: z.string().default('[crash]'),
	/** Tokens generated for such a prompt before the process ends. */
	crashAfterTokens: z.number().int().default(3),
	/** Time that a model takes to load. */
	loadMilliseconds: z.number().default(50),
});

/** Options of one engine stand-in. */
export type EngineOptions = z.output<typeof engineOptionsSchema>;

/** Work that an engine stand-in has done. */
export type EngineWork = {prefillTokens: number; cachedTokens: number; decodedTokens: number; generations: number};
