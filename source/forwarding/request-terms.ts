/**
 * What a caller says of its request.
 *
 * @module
 */

/** Terms of one attempt of a caller. */
export type RequestTerms = {
	/** Name of the attempt; endpoints echo it. */
	attempt: string | undefined;
	/** Time for which the caller waits, in milliseconds. */
	deadlineMilliseconds: number | undefined;
	/** The caller's key. */
	key: string | undefined;
	/** Event after which a generation goes on. */
	lastEvent: string | undefined;
	/** Tokens of the prompt; 0 where it does not say. */
	promptTokens: number;
	/** Tokens of the answer at most; 0 where it does not say. */
	outputTokens: number;
	/** Last part of the prompt, which belongs to the request or its session. */
	promptPart: string | undefined;
};
