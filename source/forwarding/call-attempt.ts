/**
 * How one attempt of a plain call ends.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type EndpointFailure} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {type RequestKind} from '../routing/mod.ts';
import {type HeldAnswer} from './held-answers.ts';
import {type AttemptEnd} from './retry-decision.ts';
import {BrokenAnswerError, type EndpointAnswer} from './send-request.ts';

/** A whole answer of an endpoint. */
export type WholeAnswer = {status: number; rawHeaders: readonly string[]; body: Uint8Array};

/** An answer that is too large to be held: what there is of it, and the rest as it comes. */
export type BegunAnswer = {status: number; rawHeaders: readonly string[]; begin: readonly Uint8Array[]; rest: AsyncGenerator<Uint8Array, void>};

/** How one attempt ended, or that its answer can only be passed on as it comes. */
export type CallAttempt
	= | {kind: 'answered'; endpoint: EndpointEntry; answer: WholeAnswer}
		| {kind: 'begun'; endpoint: EndpointEntry; answer: BegunAnswer}
		| {kind: 'ended'; endpoint: EndpointEntry; end: AttemptEnd; failure: EndpointFailure | undefined; message: string; answer?: WholeAnswer; retryAfterMilliseconds?: number};

/** Options of {@linkcode readAnswer}. */
export type ReadAnswerOptions = {
	/** The endpoint that answers. */
	endpoint: EndpointEntry;
	answer: EndpointAnswer;
	kind: RequestKind;
	/** Bounds what is held of it. */
	held: HeldAnswer;
};

/**
 * Reads an answer to its end, or to the bound of what is held, and says what it means.
 *
 * @param options Endpoint and answer.
 */
export async function readAnswer(options: ReadAnswerOptions): Promise<CallAttempt> {
	const {endpoint, answer, held} = options;
	const chunks: Uint8Array[] = [];
	const body = answer.body();
	let bytes = 0;
	try {
		for (let next = await body.next(); !next.done; next = await body.next()) {
			chunks.push(next.value);
			bytes += next.value.length;
			if (!held.hold(bytes)) {
				return takeLarge(options, {
					status: answer.status, rawHeaders: answer.rawHeaders, begin: chunks, rest: body,
				});
			}
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

/**
 * Passes a large answer on as it comes; a refusal is known by its head, and a failure that another endpoint may make good is left, as is
 * any answer while too many are passed on.
 */
function takeLarge({endpoint, answer, kind, held}: ReadAnswerOptions, begun: BegunAnswer): CallAttempt {
	const mayBeMadeGood = answer.status >= 500 && kind === 'idempotent';
	const mayPass = !answer.terms.notExecuted && !mayBeMadeGood && held.passOn();
	if (mayPass) {
		return {kind: 'begun', endpoint, answer: begun};
	}

	answer.abandon();
	return answer.terms.notExecuted
		? notRun(endpoint, answer)
		: {
			kind: 'ended', endpoint, end: mayBeMadeGood ? 'failed' : 'lost', failure: 'broken', message: `the endpoint answered ${answer.status} with a body that is too large to be held`,
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
