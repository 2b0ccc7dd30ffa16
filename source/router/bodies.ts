/**
 * Schemas and readers of callers' request bodies.
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

/** Body of `POST /v1/completions`, in the shape of the OpenAI completions call. */
export const completionBodySchema = z.object({
	/** Name of the service. */
	model: z.string(),
	prompt: z.string(),
	max_tokens: z.number().int().positive().default(256),
	stream: z.boolean().default(false),
	seed: z.number().int().optional(),
	/** Text received so far; goes with the `Last-Event-ID` header. */
	received_text: z.string().optional(),
});

/** Body of a completions request. */
export type CompletionBody = z.output<typeof completionBodySchema>;

/**
 * Returns the refusal of a malformed request.
 *
 * @param message What is wrong with it.
 */
export function badRequest(message: string): Refusal {
	return {
		status: 400, code: 'bad_request', message, run: 'no',
	};
}

/**
 * Reads a request's body up to a limit.
 *
 * @param request The request.
 * @param largestBytes Limit in bytes.
 * @returns The body, or a refusal with status 413.
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
 * Reads a request's body as {@linkcode readBody} does, without decoding it.
 *
 * @param request The request.
 * @param largestBytes Limit in bytes.
 * @returns The body, or a refusal with status 413.
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
 * Reads and checks a completions body.
 *
 * @param text The body.
 * @returns The body, or a refusal that names every faulty field.
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
