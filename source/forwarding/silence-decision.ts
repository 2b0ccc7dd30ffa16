/**
 * Decides what to do about an engine that sends no events.
 *
 * Two cases must be distinguished: an engine that is busy with the prefill of other prompts is silent for seconds and must not be
 * abandoned, and one that has died without closing its connection must be abandoned within the pause that callers accept.
 *
 * @module
 */
import {type EngineReport} from '../balancing/mod.ts';

/** Observed state of a silent generation. */
export type SilentGeneration = {
	/** Whether this attempt has received an event. */
	started: boolean;
	/** Time since the response last made progress by its head or an event, in milliseconds. */
	silentMilliseconds: number;
	/** Time since the engine was last known to be alive, in milliseconds. */
	sinceAliveMilliseconds: number;
	/** Maximum acceptable pause between two events, in milliseconds. */
	eventPauseMilliseconds: number;
	/** Target time to the first event, in milliseconds. */
	targetMilliseconds: number;
	/** Whether another engine holds a copy of its KV cache, so that resuming there costs little. */
	hasCopy: boolean;
};

/** What to do about a silent engine: keep waiting, query its load, or abandon it. */
export type SilenceAction = 'wait' | 'query' | 'abandon';

/** Silence in the middle of a response after which the engine is queried, in milliseconds. */
const queryAfterMilliseconds = 250;

/** Silence before the first event after which the engine is queried, in milliseconds. */
const queryBeforeFirstEventMilliseconds = 600;

/** Stall timeout of a started generation with a copy elsewhere, as a multiple of the maximum event pause. */
const stallTimeoutPausesWithCopy = 3;

/** Stall timeout of a started generation without a copy, as a multiple of the maximum event pause. */
const stallTimeoutPausesWithoutCopy = 6;

/** Stall timeout before the first event, as a multiple of the target time: the engine may process other prompts first. */
const firstEventTargetMultiple = 1.6;

/**
 * Decides what to do about a silent engine that is not presumed dead.
 *
 * @param generation Observed state of the generation.
 */
export function decideSilenceAction(generation: SilentGeneration): SilenceAction {
	const {started, silentMilliseconds, sinceAliveMilliseconds, eventPauseMilliseconds, targetMilliseconds, hasCopy} = generation;
	const stallTimeoutMilliseconds = started ? eventPauseMilliseconds * (hasCopy ? stallTimeoutPausesWithCopy : stallTimeoutPausesWithoutCopy) : targetMilliseconds * firstEventTargetMultiple;
	if (silentMilliseconds >= stallTimeoutMilliseconds) {
		return 'abandon';
	}

	const queryAfter = started ? queryAfterMilliseconds : queryBeforeFirstEventMilliseconds;
	return sinceAliveMilliseconds >= queryAfter ? 'query' : 'wait';
}

/** Observed state of an engine that does not respond to load queries. */
export type UnansweredQueries = {
	/** Number of consecutive queries without a response. */
	unanswered: number;
	/** Time since its response last made progress, in milliseconds. */
	silentMilliseconds: number;
	/** Maximum acceptable pause between two events, in milliseconds. */
	eventPauseMilliseconds: number;
	/** Whether another engine holds a copy of the generation's KV cache, so that resuming there costs little. */
	hasCopy: boolean;
};

/** Number of consecutive unanswered queries after which an engine may be presumed dead. */
const minimumUnansweredQueries = 2;

/**
 * Returns whether an engine that does not respond to queries is presumed dead.
 *
 * With a copy, the engine is abandoned early enough to resume within the pause that callers accept. Without one, the prompt must be
 * processed again, which takes longer than that pause, so an engine that may only be slow to report gets the whole pause.
 *
 * @param queries Observed state of the engine.
 */
export function isPresumedDead({unanswered, silentMilliseconds, eventPauseMilliseconds, hasCopy}: UnansweredQueries): boolean {
	return unanswered >= minimumUnansweredQueries && (hasCopy || silentMilliseconds >= eventPauseMilliseconds);
}

/**
 * Returns whether a report shows that the engine has restarted, so that it no longer runs the generation.
 *
 * @param report The engine's report.
 * @param startedAt Start time of the engine that the generation was sent to, in Unix milliseconds; 0 if unknown.
 */
export function showsRestart(report: EngineReport, startedAt: number): boolean {
	return startedAt !== 0 && report.startedAt !== 0 && report.startedAt !== startedAt;
}

/**
 * Returns whether a report shows that an engine neither runs an attempt nor has a waiting request that could be it.
 *
 * A report may be some hundred milliseconds old, so a single one proves nothing about an attempt that was just sent.
 *
 * @param report The engine's report.
 * @param attemptId Id of the attempt.
 */
export function lacksAttempt({runs, running, waiting}: EngineReport, attemptId: string): boolean {
	return waiting === 0 && runs.length === running && !runs.some(run => run.attempt === attemptId);
}

/** Number of reported but unreceived events from which on the connection counts as stalled rather than slow. */
const missedEventsThreshold = 12;

/**
 * Returns whether a report shows that an engine has generated events that have not arrived, so that the connection has stalled.
 *
 * @param report The engine's report.
 * @param attemptId Id of the attempt.
 * @param received Number of events of this attempt that have arrived.
 */
export function hasUndeliveredEvents({runs}: EngineReport, attemptId: string, received: number): boolean {
	const run = runs.find(candidate => candidate.attempt === attemptId);
	return run !== undefined && run.events - received >= missedEventsThreshold;
}
