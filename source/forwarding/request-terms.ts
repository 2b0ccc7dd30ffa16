/**
 * Parameters that a caller sets in the headers of its request.
 *
 * @module
 */

/** Parameters of one request of a caller. */
export type RequestTerms = {
	/** Id of the caller's attempt; endpoints echo it in their responses. */
	attempt: string | undefined;
	/** Time that the caller waits for the response, in milliseconds. */
	deadlineMilliseconds: number | undefined;
	/** API key of the caller. */
	key: string | undefined;
	/** Id of the last event that the caller received; a generation resumes after it. */
	lastEvent: string | undefined;
	/** Number of prompt tokens; 0 if not given. */
	promptTokens: number;
	/** Maximum number of output tokens; 0 if not given. */
	outputTokens: number;
	/** Model that the request is for. */
	model: string | undefined;
	/** Ids of the parts of the prompt that other requests may share, in order. */
	sharedPromptParts: readonly string[];
	/** Id of the last part of the prompt, which is specific to the request or its session. */
	promptPart: string | undefined;
};
