/**
 * How one attempt of a plain call ends.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type EndpointFailure} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {type AttemptEnd} from './retry-decision.ts';
import {BrokenAnswerError, type EndpointAnswer} from './send-request.ts';

/** A whole answer of an endpoint. */
export type WholeAnswer = {status: number; rawHeaders: readonly string[]; body: Uint8Array};

/** How one attempt ended. */
export type CallAttempt
	= | {kind: 'answered'; endpoint: EndpointEntry; answer: WholeAnswer}
		| {kind: 'ended'; endpoint: EndpointEntry; end: AttemptEnd; failure: EndpointFailure | undefined; message: string; answer?: WholeAnswer; retryAfterMilliseconds?: number};

/**
 * Reads an answer to its end and says what it means.
 *
 * @param endpoint The endpoint that answers.
 * @param answer Its answer.
 */
export async function readWholeAnswer(endpoint: EndpointEntry, answer: EndpointAnswer): Promise<CallAttempt> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of answer.body()) {
			chunks.push(chunk);
		}
	} catch (error) {
		if (!(error instanceof BrokenAnswerError)) {
			throw error;
		}

		return answer.terms.notExecuted
			? notRun(endpoint, answer)
			: {
				kind: 'ended', endpoint, end: 'lost', failure: 'broken', message: error.message,
			};
	}

	if (answer.terms.notExecuted) {
		return notRun(endpoint, answer);
	}

	const whole = {status: answer.status, rawHeaders: answer.rawHeaders, body: Buffer.concat(chunks)};
	return answer.status < 500
		? {kind: 'answered', endpoint, answer: whole}
		: {
			kind: 'ended', endpoint, end: 'failed', failure: 'failed', message: `the endpoint answered ${answer.status}`, answer: whole,
		};
}

function notRun(endpoint: EndpointEntry, {status, terms}: EndpointAnswer): CallAttempt {
	return {
		kind: 'ended',
		endpoint,
		end: 'not-run',
		failure: status === 421 ? undefined : 'full',
		message: `the endpoint refused with ${status}`,
		retryAfterMilliseconds: terms.retryAfterMilliseconds,
	};
}
