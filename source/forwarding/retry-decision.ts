/**
 * Decides what follows an attempt that brought no good answer.
 *
 * @module
 */
import {type RequestKind} from '../routing/mod.ts';

/** How an attempt ended without a good answer. */
export type AttemptEnd
	/** Nothing was sent, or the endpoint says that it did not run the request. */
	= | 'not-run'
	/** The endpoint may have run the request, and its answer is lost. */
		| 'lost'
	/** The endpoint ran the request and answered with a failure. */
		| 'failed';

/** Options of {@linkcode mayRunAgain}. */
export type MayRunAgainOptions = {
	kind: RequestKind;
	/** Whether a generation may go on elsewhere. */
	resumable: boolean;
	end: AttemptEnd;
	/** Attempts so far that ran or may have run. */
	runs: number;
	maximumRuns: number;
	/** Time until the final answer is due, in milliseconds. */
	leftMilliseconds: number;
};

/** Time below which another attempt cannot be answered, in milliseconds. */
const shortestAttemptMilliseconds = 10;

/**
 * Whether a request may be sent to another endpoint.
 *
 * A request that may not be repeated goes on only where it was surely not run.
 *
 * @param options Request and attempt.
 * @example
 * ```ts
 * mayRunAgain({kind: 'at-most-once', resumable: false, end: 'lost', runs: 1, maximumRuns: 3, leftMilliseconds: 900}); // false
 * ```
 */
export function mayRunAgain({kind, resumable, end, runs, maximumRuns, leftMilliseconds}: MayRunAgainOptions): boolean {
	if (leftMilliseconds < shortestAttemptMilliseconds) {
		return false;
	}

	if (end === 'not-run') {
		return true;
	}

	const repeatable = kind === 'idempotent' || (kind === 'generation' && resumable);
	return repeatable && runs < maximumRuns;
}
