/**
 * The prompt-prefix cache of an engine stand-in: blocks of tokens in limited memory.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Tokens in one block. */
const blockTokens = 16;

/**
 * Counts which leading blocks of a token sequence are cached; the least recently used blocks leave first.
 *
 * @example
 * ```ts
 * const cached = cache.lookup(tokens);
 * cache.store(tokens);
 * ```
 */
export class PrefixCache {
	readonly #capacityBlocks: number;
	readonly #blocks = new Map<string, true>();

	constructor(capacityBlocks: number) {
		this.#capacityBlocks = capacityBlocks;
	}

	/** Returns the number of leading tokens that are cached. */
	lookup(tokens: readonly string[]): number {
		const names = blockNames(tokens);
		const missing = names.findIndex(name => !this.#blocks.has(name));
		return (missing === -1 ? names.length : missing) * blockTokens;
	}

	/** Stores the whole blocks of a sequence; returns the names of the blocks stored and evicted. */
	store(tokens: readonly string[]): {stored: string[]; evicted: string[]} {
		const names = blockNames(tokens);
		const stored = names.filter(name => !this.#blocks.has(name));
		for (const name of names) {
			this.#blocks.delete(name);
			this.#blocks.set(name, true);
		}

		const evicted: string[] = [];
		for (const name of this.#blocks.keys()) {
			if (this.#blocks.size <= this.#capacityBlocks) {
				break;
			}

			this.#blocks.delete(name);
			evicted.push(name);
		}

		return {stored, evicted};
	}
}

function blockNames(tokens: readonly string[]): string[] {
	const hash = createHash('sha256');
	const names: string[] = [];
	for (let end = blockTokens; end <= tokens.length; end += blockTokens) {
		hash.update(tokens.slice(end - blockTokens, end).join(''));
		names.push(hash.copy().digest('hex').slice(0, 16));
	}

	return names;
}
