/**
 * What a repeat is told about the claim that stands.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type ServiceAnswer} from '../endpoints/mod.ts';
import {type CallEnd} from './call.ts';
import {type Claim, type StoredAnswer} from './claim.ts';

/** Largest answer that is kept, as stored, in characters. */
export const largestStoredAnswer = 24_576;

/** Longest time after which a repeat of a running call is asked to come back, in seconds. */
const longestComeBackSeconds = 2;

const message = {
	conflict: 'The idempotency key belongs to another call; this one was not run.',
	notKept: 'The call ran to its end; its answer is not kept, because it was too large or an operator settled the call.',
	running: 'The call with this idempotency key is in progress.',
	unknown: 'The outcome of the call is unknown, and it will not be run again; an operator can settle it.',
};

/**
 * Returns the answer to a repeat.
 *
 * @param claim The claim that stands; absent when its value cannot be decoded.
 * @param callDigest Digest of the repeat.
 * @param now Wall-clock time, in milliseconds.
 * @example
 * ```ts
 * const end = answerOfClaim(claim, digestCall(request), Date.now());
 * ```
 */
export function answerOfClaim(claim: Claim | undefined, callDigest: string, now: number): CallEnd {
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
		return endedAnswer(claim.answer);
	}

	if (claim.state === 'running' && now < claim.endsBefore) {
		const secondsLeft = Math.max(1, Math.ceil((claim.endsBefore - now) / 1000));
		return {
			kind: 'refused',
			refusal: {
				status: 409, code: 'call_in_progress', message: message.running, run: 'unknown', retryAfterSeconds: Math.min(secondsLeft, longestComeBackSeconds),
			},
		};
	}

	return unknownOutcome(409);
}

/**
 * Returns the end of a call whose outcome is not known.
 *
 * @param status 502 or 504 for the attempt itself, 409 for its repeats.
 */
export function unknownOutcome(status: 409 | 502 | 504): CallEnd {
	return {
		kind: 'refused',
		refusal: {
			status, code: 'outcome_unknown', message: message.unknown, run: 'unknown',
		},
	};
}

/**
 * Returns an answer in the form that is kept; one that is too large keeps only its status.
 *
 * @param answer Answer of the service.
 */
export function storedAnswer(answer: ServiceAnswer): StoredAnswer {
	const whole = {status: answer.status, headers: answer.headers, body: Buffer.from(answer.head).toString('base64')};
	const tooLarge = answer.rest !== undefined || JSON.stringify(whole).length > largestStoredAnswer;
	return tooLarge ? {status: answer.status, headers: {}} : whole;
}

function endedAnswer(stored: StoredAnswer | undefined): CallEnd {
	if (stored?.body === undefined) {
		return {
			kind: 'refused',
			refusal: {
				status: 409, code: 'answer_not_kept', message: stored ? `${message.notKept} Its status was ${stored.status}.` : message.notKept, run: 'yes',
			},
		};
	}

	return {kind: 'answered', answer: {status: stored.status, headers: stored.headers, head: Buffer.from(stored.body, 'base64')}, stored: true};
}
