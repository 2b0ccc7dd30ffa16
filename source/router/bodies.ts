/**
 * Reads and validates request bodies.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type Refusal} from '../answers/mod.ts';

/** Schema of the body of `POST /v1/completions`, compatible with the OpenAI completions API. */
export const completionBodySchema = z.object({
	/** Name of the service. */
	model: z.string(),
	prompt: z.string(),
	max_tokens: z.number().int().positive().default(256),
	stream: z.boolean().default(false),
	seed: z.number().int().optional(),
	/** Text that the caller has received so far; used together with the `Last-Event-ID` header. */
	received_text: z.string().optional(),
});

/** Validated body of a completions request. */
export type CompletionBody = z.output<typeof completionBodySchema>;

/**
 * Returns a 400 refusal for a malformed request.
 *
 * @param message Describes the error.
 */
export function badRequest(message: string): Refusal {
	return {
		status: 400, code: 'bad_request', message, run: 'no',
	};
}

/**
 * Reads and decodes a request body of limited size.
 *
 * @param request The request.
 * @param maximumBytes Maximum size, in bytes.
 * @returns The body, or a refusal with status 413 if it is too large.
 * @example
 * ```ts
 * const body = await readBody(request, 4_194_304);
 * ```
 */
export async function readBody(request: IncomingMessage, largestBytes: number): Promise<Result<string, Refusal>> {
	const bytes = await readBytes(request, largestBytes);
	return bytes.map(body => new TextDecoder().decode(body));
}

/**
 * Reads a request body of limited size without decoding it; see {@linkcode readBody}.
 *
 * @param request The request.
 * @param maximumBytes Maximum size, in bytes.
 * @returns The body, or a refusal with status 413 if it is too large.
 * @example
 * ```ts
 * const body = await readBytes(request, 4_194_304);
 * ```
 */
export async function readBytes(request: IncomingMessage, largestBytes: number): Promise<Result<Uint8Array, Refusal>> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		length += chunk.length;
		if (length > largestBytes) {
			return err({...badRequest(`the body is larger than ${largestBytes} bytes`), status: 413});
		}

		chunks.push(chunk);
	}

	return ok(Buffer.concat(chunks));
}

/**
 * Parses and validates the body of a completions request.
 *
 * @param text The body as JSON text.
 * @returns The body, or a refusal that lists every invalid field.
 */
export function parseCompletionBody(text: string): Result<CompletionBody, Refusal> {
	let content: unknown;
	try {
		content = JSON.parse(text);
	} catch {
		return err(badRequest('the body is not JSON'));
	}

	const checked = completionBodySchema.safeParse(content);
	if (checked.success) {
		return ok(checked.data);
	}

	const faults = checked.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`);
	return err(badRequest(faults.join('; ')));
}
