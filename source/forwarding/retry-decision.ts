/**
 * Decides whether a request is retried after an unsuccessful attempt.
 *
 * @module
 */
import {type RequestKind} from '../routing/mod.ts';

/** How an unsuccessful attempt ended. */
export type AttemptEnd
	/** Nothing was sent, or the endpoint reported that it did not run the request. */
	= | 'not-run'
	/** The endpoint may have run the request, and its response is lost. */
		| 'lost'
	/** The endpoint ran the request and responded with an error. */
		| 'failed';

/** Options of {@linkcode mayRetry}. */
export type MayRetryOptions = {
	kind: RequestKind;
	/** Whether a generation may be resumed on another engine. */
	resumable: boolean;
	end: AttemptEnd;
	/** Number of attempts so far that ran or may have run. */
	runs: number;
	maximumRuns: number;
	/** Time left until the deadline, in milliseconds. */
	remainingMilliseconds: number;
};

/** Minimum time left for another attempt, in milliseconds; no endpoint can respond in less. */
const minimumAttemptMilliseconds = 10;

/**
 * Returns whether a request may be sent to another endpoint.
 *
 * A request that must not be repeated is retried only if it certainly was not run.
 *
 * @param options Request and its last attempt.
 * @example
 * ```ts
 * mayRetry({kind: 'at-most-once', resumable: false, end: 'lost', runs: 1, maximumRuns: 3, remainingMilliseconds: 900}); // false
 * ```
 */
export function mayRetry({kind, resumable, end, runs, maximumRuns, remainingMilliseconds}: MayRetryOptions): boolean {
	if (remainingMilliseconds < minimumAttemptMilliseconds) {
		return false;
	}

	if (end === 'not-run') {
		return true;
	}

	const isRepeatable = kind === 'idempotent' || (kind === 'generation' && resumable);
	return isRepeatable && runs < maximumRuns;
}
