/**
 * Actions of callers.
 *
 * @module
 */
import * as z from 'zod';
import {startCall} from './_call.ts';
import {startGeneration} from './_generation-request.ts';
import {callShape, generationShape} from './_request-shapes.ts';
import {verb, type Verbs} from './_verb.ts';

/** Words that send requests; none of them waits for the answer. */
export const requestActions: Verbs = {
	generate: verb(generationShape, async (input, run) => {
		run.addRequest(startGeneration(input, run));
		return `asked for ${input.name}`;
	}),
	call: verb(callShape, async (input, run) => {
		run.addRequest(startCall(input, run));
		return `called ${input.name}`;
	}),
	repeat: verb({request: z.string(), name: z.string(), entry: z.string().optional()}, async ({request, name, entry}, run) => {
		const earlier = run.request(request);
		const changes = {name, entry: entry ?? earlier.input.entry};
		run.addRequest(earlier.kind === 'generation' ? startGeneration({...earlier.input, ...changes, prompt: earlier.prompt}, run) : startCall({...earlier.input, ...changes}, run));
		return `repeated ${request} as ${name}`;
	}),
};
