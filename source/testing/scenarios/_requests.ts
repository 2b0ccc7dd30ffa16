/**
 * Requests that a scenario's callers have sent.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type RunState} from '../../answers/mod.ts';
import {type Completion, type CompletionFailure} from '../../client/mod.ts';
import {type CallInput, type GenerationInput} from './_request-shapes.ts';

/** A running or answered generation. */
export type GenerationRequest = {
	kind: 'generation';
	name: string;
	input: GenerationInput;
	prompt: string;
	/** Tokens received. */
	tokens: number;
	/** Entry that sent the last token. */
	address: string | undefined;
	answered: boolean;
	answer: Promise<Result<Completion, CompletionFailure>>;
};

/** What the caller learned: the answer, or that its connection gave none. */
export type CallAnswer = {status: number | undefined; code: string | undefined; run: RunState | undefined; text: string};

/** A running or answered call. */
export type CallRequest = {kind: 'call'; name: string; input: CallInput; answered: boolean; answer: Promise<CallAnswer>};

/** Any request of a scenario. */
export type ScenarioRequest = GenerationRequest | CallRequest;
