/**
 * The text that an undisturbed engine stand-in generates, known to tests in advance.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** What the text depends on. */
export type TextSource = {prompt: string; seed: number; version: string};

const words = [
	'amber', 'basalt', 'cobalt', 'dusk', 'ember', 'fjord', 'gilt', 'heath', 'ivory', 'jade', 'kelp', 'linen', 'moss', 'night', 'ochre', 'pearl',
];

/**
 * Generates tokens of which each depends on all before it, so that a gap, a repetition or a mixture changes all that follows.
 *
 * @example
 * ```ts
 * const text = new DeterministicText({prompt, seed, version});
 * const first = text.next();
 * ```
 */
export class DeterministicText {
	#state: string;

	constructor(source: TextSource) {
		this.#state = digest(`${source.version}\n${source.seed}\n${source.prompt}`);
	}

	/** Returns the next token. */
	next(): string {
		const number = Number.parseInt(this.#state.slice(0, 8), 16);
		const token = `${words[number % words.length]!}${number % 97} `;
		this.follow(token);
		return token;
	}

	/** Takes a token as generated, whether or not it is the one that would have come. */
	follow(token: string): void {
		this.#state = digest(this.#state + token);
	}
}

/**
 * Splits a text into the tokens of the stand-in.
 *
 * @param text Text of whole tokens.
 */
export function splitTokens(text: string): string[] {
	return text.match(/\S+\s*/gv) ?? [];
}

/**
 * Returns the whole text of an undisturbed run.
 *
 * @param source Prompt, seed and model version.
 * @param tokens Number of tokens.
 * @example
 * ```ts
 * assert.equal(received, expectedText({prompt, seed: 1, version: 'v1'}, 100));
 * ```
 */
export function expectedText(source: TextSource, tokens: number): string {
	const text = new DeterministicText(source);
	return Array.from({length: tokens}, () => text.next()).join('');
}

function digest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
