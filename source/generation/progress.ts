/**
 * State of one generation while a router serves it.
 *
 * @module
 */
import {type Refusal} from '../answers/mod.ts';
import {type ModelService} from '../configuration/mod.ts';
import {type ModelIdentity} from './cursor.ts';

/** A generation in progress; only the task that serves it changes this object. */
export type Progress = {
	/** Name of the generation. */
	readonly generation: string;
	readonly workspace: string;
	readonly service: ModelService;
	/** Model that produces the generation; fixed from the first token. */
	readonly model: ModelIdentity;
	readonly prompt: string;
	/** Digest of workspace, service and body; equal for a repeat of the request. */
	readonly requestDigest: string;
	/** Maximum number of tokens in the whole answer. */
	readonly maxTokens: number;
	readonly seed: number;
	/** Wall-clock time after which no further attempt is started, in milliseconds. */
	readonly deadline: number;
	/** Concatenated text of the tokens before `nextIndex`. */
	text: string;
	/** Index of the next token to forward. */
	nextIndex: number;
	/** Number of the current attempt; increases with each stream that is opened. */
	attempt: number;
	/** Endpoint that last ran the generation. */
	endpoint: string | undefined;
};

/** A token to forward to the caller. */
export type DeliveredToken = {index: number; text: string; attempt: number; endpoint: string};

/** Receives the tokens of a generation in order. */
export type TokenSink = {
	/** Forwards one token; returns false when the caller has disconnected. */
	token(token: DeliveredToken): boolean | Promise<boolean>;
};

/** How this router finished serving a generation. */
export type GenerationOutcome
	= | {kind: 'complete'; totalTokens: number; finishReason: string}
		| {kind: 'incomplete'; refusal: Refusal}
		| {kind: 'superseded'}
		| {kind: 'caller_gone'};
