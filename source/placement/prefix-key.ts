/**
 * Names of prompt prefixes.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Characters of a prompt whose digest names its prefix. */
const prefixLength = 256;

/**
 * Returns the key of a prompt's first block, as cache events name it.
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
