/**
 * Reads and validates request bodies.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type Refusal} from '../answers/mod.ts';
import {type BodyFailure, type RequestIntake} from '../intake/mod.ts';

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

/** Time without a byte after which a body counts as too slow, and time for a whole body, in milliseconds. */
const bodyMilliseconds = {pause: 15_000, whole: 120_000};

/** Delay after which a request may return for whose body there was no room, in seconds. */
const retryWithoutRoomSeconds = 1;

const refusals: Record<BodyFailure, Refusal> = {
	'too-large': {...badRequest('the body is larger than this router allows'), status: 413},
	broken: badRequest('the body broke off'),
	'no-room': {
		status: 503, code: 'no_room', message: 'This router has no room for the request.', run: 'no', retryAfterSeconds: retryWithoutRoomSeconds,
	},
	'too-slow': {
		status: 408, code: 'body_timeout', message: 'The body did not arrive in time.', run: 'no',
	},
	late: {
		status: 408, code: 'body_timeout', message: 'The body did not arrive in time.', run: 'no',
	},
};

/** Refusal of a request beyond those that may be in progress at once. */
export const tooManyRequests: Refusal = refusals['no-room'];

/**
 * Reads and decodes a request body of limited size.
 *
 * @param intake Takes in the request.
 * @param largestBytes Maximum size, in bytes.
 * @param now Monotonic time, in milliseconds.
 * @returns The body, or a refusal: with status 413 if it is too large, 408 if it is late, or 503 if there is no room for it.
 * @example
 * ```ts
 * const body = await readBody(intake, 4_194_304, performance.now());
 * ```
 */
export async function readBody(intake: RequestIntake, largestBytes: number, now: number): Promise<Result<string, Refusal>> {
	const bytes = await readBytes(intake, largestBytes, now);
	return bytes.map(body => new TextDecoder().decode(body));
}

/**
 * Reads a request body of limited size without decoding it; see {@linkcode readBody}.
 *
 * @param intake Takes in the request.
 * @param largestBytes Maximum size, in bytes.
 * @param now Monotonic time, in milliseconds.
 * @returns The body, or a refusal.
 * @example
 * ```ts
 * const body = await readBytes(intake, 4_194_304, performance.now());
 * ```
 */
export async function readBytes(intake: RequestIntake, largestBytes: number, now: number): Promise<Result<Uint8Array, Refusal>> {
	const read = await intake.readBody({maximumBytes: largestBytes, pauseMilliseconds: bodyMilliseconds.pause, until: now + bodyMilliseconds.whole});
	return read.mapErr(failure => refusals[failure]);
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
