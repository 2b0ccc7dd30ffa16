/**
 * A call of a plain service that a scenario's caller made.
 *
 * @module
 */
import {request} from 'undici';
import {type RunState} from '../../answers/mod.ts';
import {type CallInput} from './_request-shapes.ts';
import {type CallAnswer, type CallRequest} from './_requests.ts';
import {type ScenarioContext} from './_scenario-context.ts';

/**
 * Makes one call at one entry, without any repetition.
 *
 * @param input Fields of the step.
 * @param run The scenario's run.
 */
export function startCall(input: CallInput, run: ScenarioContext): CallRequest {
	const started: CallRequest = {
		kind: 'call', name: input.name, input, answered: false, answer: send(input, run),
	};
	void markAnswered(started);
	return started;
}

async function markAnswered(call: CallRequest): Promise<void> {
	await call.answer;
	call.answered = true;
}

async function send(input: CallInput, run: ScenarioContext): Promise<CallAnswer> {
	const entry = input.entry ?? run.routerNames[0]!;
	try {
		const response = await request(`http://${run.fleet.hosts.get(entry)!.entry!.callers}/v1/services/${input.service}${input.path}`, {
			method: input.method,
			headers: {
				authorization: `Bearer ${run.key(input.workspace)}`,
				'content-type': 'application/json',
				...(input.idempotencyKey !== undefined && {'idempotency-key': input.idempotencyKey}),
			},
			body: input.body === undefined ? undefined : JSON.stringify(input.body),
			signal: AbortSignal.timeout(input.deadlineSeconds * 1000),
		});
		const text = await response.body.text();
		const error = errorOf(text);
		return {
			status: response.statusCode, code: error?.code, run: error?.run, text,
		};
	} catch (error) {
		return {
			status: undefined, code: undefined, run: undefined, text: String(error),
		};
	}
}

function errorOf(text: string): {code: string; run: RunState} | undefined {
	try {
		return (JSON.parse(text) as {error?: {code: string; run: RunState}}).error;
	} catch {
		return undefined;
	}
}
