/**
 * Progress of a generation across its attempts.
 *
 * @module
 */
import {type ExchangeOutcome} from './exchange.ts';

/** Progress of a generation across its attempts. */
export type GenerationProgress = {
	/** Id of the last event sent to the caller. */
	lastEventId: string | undefined;
	/** Number of events forwarded. */
	events: number;
	/** Monotonic time of the last event, or of the request's arrival, in milliseconds. */
	lastEventAt: number;
	/** Time from the request to its first event, in milliseconds. */
	firstEventMilliseconds: number | undefined;
	/** Longest pause between two events, in milliseconds. */
	longestPauseMilliseconds: number;
};

/**
 * Records the arrival of events.
 *
 * @param progress Progress, which is updated.
 * @param now Monotonic time, in milliseconds.
 */
export function recordPause(progress: GenerationProgress, now: number): void {
	const pauseMilliseconds = now - progress.lastEventAt;
	progress.lastEventAt = now;
	if (progress.firstEventMilliseconds === undefined) {
		progress.firstEventMilliseconds = pauseMilliseconds;
	} else {
		progress.longestPauseMilliseconds = Math.max(progress.longestPauseMilliseconds, pauseMilliseconds);
	}
}

/** Returns the progress as it is logged when the generation has ended. */
export function describeProgress({events, firstEventMilliseconds, longestPauseMilliseconds}: GenerationProgress): ExchangeOutcome['generation'] {
	return {
		events,
		firstEventMilliseconds: firstEventMilliseconds === undefined ? undefined : Math.round(firstEventMilliseconds),
		longestPauseMilliseconds: Math.round(longestPauseMilliseconds),
	};
}
