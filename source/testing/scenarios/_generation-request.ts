/**
 * A generation that a scenario's caller asked for.
 *
 * @module
 */
import {complete} from '../../client/mod.ts';
import {type GenerationInput} from './_request-shapes.ts';
import {type GenerationRequest} from './_requests.ts';
import {type ScenarioContext} from './_scenario-context.ts';

/**
 * Asks for a generation through the reference client, which checks each token's index.
 *
 * @param input Fields of the step.
 * @param run The scenario's run.
 */
export function startGeneration(input: GenerationInput, run: ScenarioContext): GenerationRequest {
	const prompt = input.prompt ?? `Notes for ${input.name}, kept by the northern clans in their long halls`;
	const started: GenerationRequest = {
		kind: 'generation', name: input.name, input, prompt, tokens: 0, address: undefined, answered: false, answer: complete({
			entries: run.fleet.entries(...(input.entry === undefined ? [] : [input.entry])),
			key: run.key(input.workspace),
			request: {
				model: input.service, prompt, max_tokens: input.tokens, seed: input.seed,
			},
			deadlineMilliseconds: input.deadlineSeconds * 1000,
			onToken(_text, index, address) {
				started.tokens = index + 1;
				started.address = address;
			},
		}),
	};
	void markAnswered(started);
	return started;
}

async function markAnswered(request: GenerationRequest): Promise<void> {
	try {
		await request.answer;
	} finally {
		request.answered = true;
	}
}
