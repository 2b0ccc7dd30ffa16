/**
 * Answers repeats of a call from its stored claim.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type ServiceResponse} from '../endpoints/mod.ts';
import {type CallOutcome} from './call.ts';
import {type Claim, type StoredAnswer} from './claim.ts';

/** Maximum size of a stored answer in its serialized form, in characters. */
export const maximumStoredCharacters = 24_576;

/** Maximum retry time that is sent for a running call, in seconds. */
const maximumRetryAfterSeconds = 2;

const message = {
	conflict: 'The idempotency key belongs to another call; this one was not run.',
	notKept: 'The call ran to its end; its answer is not kept, because it was too large or an operator settled the call.',
	running: 'The call with this idempotency key is in progress.',
	unknown: 'The outcome of the call is unknown, and it will not be run again; an operator can settle it.',
};

/**
 * Returns the outcome of a repeated call.
 *
 * @param claim The stored claim; undefined when its value cannot be decoded.
 * @param callDigest Digest of the repeat.
 * @param now Wall-clock time, in milliseconds.
 * @example
 * ```ts
 * const outcome = outcomeOfRepeat(claim, digestCall(request), Date.now());
 * ```
 */
export function outcomeOfRepeat(claim: Claim | undefined, callDigest: string, now: number): CallOutcome {
	if (!claim) {
		return unknownOutcome(409);
	}

	if (claim.callDigest !== callDigest) {
		return {
			kind: 'refused',
			refusal: {
				status: 422, code: 'conflicting_body', message: message.conflict, run: claim.state === 'ended' ? 'yes' : 'unknown',
			},
		};
	}

	if (claim.state === 'ended') {
		return outcomeOfEndedClaim(claim.answer);
	}

	if (claim.state === 'running' && now < claim.endsBefore) {
		const secondsLeft = Math.max(1, Math.ceil((claim.endsBefore - now) / 1000));
		return {
			kind: 'refused',
			refusal: {
				status: 409, code: 'call_in_progress', message: message.running, run: 'unknown', retryAfterSeconds: Math.min(secondsLeft, maximumRetryAfterSeconds),
			},
		};
	}

	return unknownOutcome(409);
}

/**
 * Returns the refusal of a call whose outcome is not known.
 *
 * @param status 502 or 504 for the attempt itself, 409 for its repeats.
 */
export function unknownOutcome(status: 409 | 502 | 504): CallOutcome {
	return {
		kind: 'refused',
		refusal: {
			status, code: 'outcome_unknown', message: message.unknown, run: 'unknown',
		},
	};
}

/**
 * Returns the stored form of an answer; of one that is too large, only the status is stored.
 *
 * @param answer Answer of the service.
 */
export function toStoredAnswer(answer: ServiceResponse): StoredAnswer {
	const whole = {status: answer.status, headers: answer.headers, body: Buffer.from(answer.head).toString('base64')};
	const tooLarge = answer.rest !== undefined || JSON.stringify(whole).length > maximumStoredCharacters;
	return tooLarge ? {status: answer.status, headers: {}} : whole;
}

function outcomeOfEndedClaim(stored: StoredAnswer | undefined): CallOutcome {
	if (stored?.body === undefined) {
		return {
			kind: 'refused',
			refusal: {
				status: 409, code: 'answer_not_kept', message: stored ? `${message.notKept} Its status was ${stored.status}.` : message.notKept, run: 'yes',
			},
		};
	}

	return {
		kind: 'answered', answer: {
			status: stored.status, headers: stored.headers, limit: {kind: 'none'}, head: Buffer.from(stored.body, 'base64'),
		}, stored: true,
	};
}
