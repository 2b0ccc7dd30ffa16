/**
 * Decodes rows that gateways write to the store as JSON.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import type * as z from 'zod';

/**
 * Decodes the content of a row.
 *
 * @param schema Schema of the content.
 * @param content Content of the row.
 * @returns The decoded content, or why it cannot be decoded.
 * @example
 * ```ts
 * const limit = decodeRow(publishedLimitSchema, content).unwrapOr(undefined);
 * ```
 */
export function decodeRow<Content>(schema: z.ZodType<Content>, content: Uint8Array): Result<Content, string> {
	try {
		return ok(schema.parse(JSON.parse(new TextDecoder().decode(content))));
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}
