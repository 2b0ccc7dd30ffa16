/**
 * Decides what an engine's cache is worth to a generation that its caller resumes.
 *
 * @module
 */

/** A part of a prompt that an engine keeps. */
export type CachedPart = {id: string; tokens: number; model: string};

/** Options of {@linkcode cachedPromptTokens}. */
export type CachedPromptTokensOptions = {
	/** Ids of the parts of the prompt, in order. */
	promptParts: readonly string[];
	/** Model that the request is for. */
	model: string | undefined;
	/** Parts that the engine keeps. */
	cached: readonly CachedPart[];
};

/**
 * Returns the number of tokens of a prompt that an engine need not read again: a part counts only if all parts before it are cached too.
 *
 * @param options The prompt and the engine's cache.
 */
export function cachedPromptTokens({promptParts, model, cached}: CachedPromptTokensOptions): number {
	const tokensOf = new Map(cached.filter(part => part.model === model).map(({id, tokens}) => [id, tokens]));
	let sum = 0;
	for (const id of promptParts) {
		const tokens = tokensOf.get(id);
		if (tokens === undefined) {
			break;
		}

		sum += tokens;
	}

	return sum;
}
