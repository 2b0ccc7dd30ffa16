/**
 * Keys of prompt prefixes.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Number of leading characters of a prompt that form its prefix. */
const prefixLength = 256;

/**
 * Returns the key of a prompt's prefix, as used in cache events: a truncated SHA-256 digest.
 *
 * @param prompt The prompt.
 * @example
 * ```ts
 * prefixKey('Lore of the northern clans ...');
 * ```
 */
export function prefixKey(prompt: string): string {
	return createHash('sha256').update(prompt.slice(0, prefixLength)).digest('hex').slice(0, 16);
}
