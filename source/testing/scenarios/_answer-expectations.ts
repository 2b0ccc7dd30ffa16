/**
 * Expectations about the answers that callers receive.
 *
 * @module
 */
import assert from 'node:assert/strict';
import * as z from 'zod';
import {expectedText} from '../stand-ins/expected-text.ts';
import {type GenerationRequest} from './_requests.ts';
import {verb, type Verbs} from './_verb.ts';

/** Time within which output goes on after a loss, in seconds. */
const resumeSeconds = 5;

const runStateSchema = z.enum(['no', 'yes', 'unknown']);

function textOf({prompt, input}: GenerationRequest, version: string): string {
	return expectedText({prompt, seed: input.seed, version}, input.tokens);
}

/** Words that check one answer; each waits until the answer has come. */
export const answerExpectations: Verbs = {
	whole_answer: verb({
		request: z.string(),
		version: z.string().default('v1'),
		reconnections: z.number().int().nonnegative().optional(),
		resumesWithinSeconds: z.number().positive().default(resumeSeconds),
	}, async ({request, version, reconnections, resumesWithinSeconds}, run) => {
		const generation = run.generation(request);
		const answer = await generation.answer;
		if (answer.isErr()) {
			throw new Error(`${request} has no whole answer: ${answer.error.code}: ${answer.error.message}`);
		}

		const {text, longestGapMilliseconds} = answer.value;
		assert.equal(text, textOf(generation, version), `${request} is not the expected text`);
		if (reconnections !== undefined) {
			assert.equal(answer.value.reconnections, reconnections, `reconnections of ${request}`);
		}

		assert.ok(longestGapMilliseconds <= resumesWithinSeconds * 1000, `${request} was silent for ${Math.round(longestGapMilliseconds)} ms`);
		return `${request} whole, longest gap ${Math.round(longestGapMilliseconds)} ms, ${answer.value.reconnections} reconnections`;
	}),
	incomplete_answer: verb({
		request: z.string(), version: z.string().default('v1'), codes: z.array(z.string()).min(1), run: runStateSchema,
	}, async ({request, version, codes, run: runState}, run) => {
		const generation = run.generation(request);
		const answer = await generation.answer;
		const failure = answer._unsafeUnwrapErr();
		assert.ok(codes.includes(failure.code), `${request} ended with ${failure.code}`);
		assert.equal(failure.run, runState);
		assert.ok(textOf(generation, version).startsWith(failure.text), `the text of ${request} is not a beginning of the expected text`);
		return `${request} ended with ${failure.code}, run ${failure.run}`;
	}),
	truthful_answer: verb({request: z.string(), version: z.string().default('v1')}, async ({request, version}, run) => {
		const generation = run.generation(request);
		const answer = await generation.answer;
		const whole = textOf(generation, version);
		if (answer.isOk()) {
			assert.equal(answer.value.text, whole, `${request} is not the expected text`);
			return `${request} whole`;
		}

		const {code, text, run: runState} = answer.error;
		assert.ok(whole.startsWith(text), `the text of ${request} is not a beginning of the expected text`);
		if (runState === 'no') {
			assert.equal(generation.tokens, 0, `${request} is reported as not run after tokens came`);
			assert.deepEqual(await run.enginesThatRan(generation.prompt), [], `${request} is reported as not run`);
		}

		return `${request} ended with ${code}, run ${runState}`;
	}),
	call_answer: verb({
		request: z.string(), status: z.number().int().optional(), code: z.string().optional(), run: runStateSchema.optional(),
	}, async ({request, ...expected}, run) => {
		const {status, code, run: runState, text} = await run.call(request).answer;
		const actual = {status, code, run: runState};
		for (const field of ['status', 'code', 'run'] as const) {
			if (expected[field] !== undefined) {
				assert.equal(actual[field], expected[field], `${field} of ${request}: ${text}`);
			}
		}

		return `${request} answered ${status}`;
	}),
};
