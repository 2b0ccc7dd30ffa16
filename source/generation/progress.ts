/**
 * What a router knows of one generation while it serves it.
 *
 * @module
 */
import {type Refusal} from '../answers/mod.ts';
import {type ModelService} from '../configuration/mod.ts';
import {type ModelIdentity} from './cursor.ts';

/** A generation in progress; changed only by the task that serves it. */
export type Progress = {
	readonly generation: string;
	readonly workspace: string;
	readonly service: ModelService;
	/** Model that the generation is bound to from its first token. */
	readonly model: ModelIdentity;
	readonly prompt: string;
	/** Digest of workspace, service and body, the same for a repeat of the request. */
	readonly requestDigest: string;
	/** Tokens of the whole answer at most. */
	readonly maxTokens: number;
	readonly seed: number;
	/** Wall-clock time from which no further attempt is started, in milliseconds. */
	readonly deadline: number;
	/** Text of the tokens before `nextIndex`. */
	text: string;
	/** Index of the next token to forward. */
	nextIndex: number;
	/** Number of the current attempt; each stream opened takes a higher one. */
	attempt: number;
	/** Endpoint that last ran the generation. */
	endpoint: string | undefined;
};

/** A token on its way to the caller. */
export type DeliveredToken = {index: number; text: string; attempt: number; endpoint: string};

/** Receives the tokens of a generation in order. */
export type TokenSink = {
	/** Forwards one token; returns false when the caller is gone. */
	token(token: DeliveredToken): boolean | Promise<boolean>;
};

/** How a generation ended at this router. */
export type GenerationEnd
	= | {kind: 'complete'; totalTokens: number; finishReason: string}
		| {kind: 'incomplete'; refusal: Refusal}
		| {kind: 'superseded'}
		| {kind: 'caller_gone'};
