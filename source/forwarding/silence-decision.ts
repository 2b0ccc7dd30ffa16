/**
 * Decides what to do about an engine that sends no events.
 *
 * A silent engine may be busy with the prefill of other prompts, may be suspended for a moment and go on with all that it holds, or may
 * have died without closing its connection. Silence proves none of these, so an engine is left for its silence only when the generation
 * can go on at another one; otherwise the generation stays until the engine is shown to have lost it, or its deadline passes.
 *
 * @module
 */
import {type EngineReport} from '../balancing/mod.ts';

/** Outcome of a load query: a report, no response over an established connection, or no connection. */
export type EngineQuery = {kind: 'report'; report: EngineReport} | {kind: 'unresponsive'} | {kind: 'unreachable'};

/** What the load queries since the last sign of life showed of an engine. */
export type EngineCondition = 'alive' | Exclude<EngineQuery['kind'], 'report'>;

/** Observed state of a silent generation. */
export type SilentGeneration = {
	/** Whether this attempt has received an event. */
	started: boolean;
	/** Time since the response last made progress by its head or an event, in milliseconds. */
	silentMilliseconds: number;
	/** Time since the response last made progress or the engine reported work on the generation, in milliseconds. */
	idleMilliseconds: number;
	/** Time since reports last showed that the engine's queue moves, in milliseconds; absent if none did. */
	sinceQueueMovedMilliseconds?: number;
	/** Time since the engine was last known to be alive, in milliseconds. */
	sinceAliveMilliseconds: number;
	condition: EngineCondition;
	/** Time since the first of the consecutive queries without a report, in milliseconds; 0 if the latest was answered. */
	unansweredMilliseconds: number;
	/** Maximum acceptable pause between two events, in milliseconds. */
	eventPauseMilliseconds: number;
	/** Target time to the first event, in milliseconds. */
	targetMilliseconds: number;
	/** Whether another engine holds a copy of its KV cache, so that resuming there costs little. */
	hasCopy: boolean;
};

/** What to do about a silent engine: keep waiting, query its load, or leave it if the generation can go on elsewhere. */
export type SilenceAction = 'wait' | 'query' | 'leave';

/** Silence in the middle of a response after which the engine is queried, in milliseconds. */
const queryAfterMilliseconds = 250;

/** Silence before the first event after which the engine is queried, in milliseconds. */
const queryBeforeFirstEventMilliseconds = 600;

/** The same as a share of the target time, for routes with a short one. */
const queryBeforeFirstEventShare = 0.5;

/** Stall timeout of a started generation with a copy elsewhere, as a multiple of the maximum event pause. */
const stallTimeoutPausesWithCopy = 3;

/** Stall timeout of a started generation without a copy, as a multiple of the maximum event pause. */
const stallTimeoutPausesWithoutCopy = 6;

/** Stall timeout before the first event, as a multiple of the target time: the engine may process other prompts first. */
const firstEventTargetMultiple = 1.6;

/** Time for which an engine counts as working through its queue after reports have shown so, as a share of the target time. */
const queueMovedShare = 0.5;

/** Time before the first event after which an engine is left though its queue moves, as a multiple of the target time: callers wait for four times the target time, and another engine needs one. */
const movingQueueTargetMultiple = 3;

/** Time without a response after which an engine that accepts connections is left, in milliseconds; a sound one may be suspended for a second or more, and callers wait two seconds at least. */
const maximumSuspensionMilliseconds = 1600;

/** Whether an engine is left for its silence, by its condition. */
const leaveRules: Record<EngineCondition, (generation: SilentGeneration) => boolean> = {
	alive: generation => generation.idleMilliseconds >= stallTimeout(generation),
	unresponsive: ({unansweredMilliseconds, eventPauseMilliseconds}) => unansweredMilliseconds >= Math.max(maximumSuspensionMilliseconds, eventPauseMilliseconds),
	// With a copy, the generation can resume within the pause that callers accept; without one, the prompt must be processed again anyway.
	unreachable: ({silentMilliseconds, eventPauseMilliseconds, hasCopy}) => hasCopy || silentMilliseconds >= eventPauseMilliseconds,
};

/** Returns the time without progress after which an engine that reports is left, in milliseconds. */
function stallTimeout({started, sinceQueueMovedMilliseconds = Number.POSITIVE_INFINITY, targetMilliseconds, eventPauseMilliseconds, hasCopy}: SilentGeneration): number {
	if (started) {
		return eventPauseMilliseconds * (hasCopy ? stallTimeoutPausesWithCopy : stallTimeoutPausesWithoutCopy);
	}

	const queueMoves = sinceQueueMovedMilliseconds < targetMilliseconds * queueMovedShare;
	return targetMilliseconds * (queueMoves ? movingQueueTargetMultiple : firstEventTargetMultiple);
}

/**
 * Decides what to do about a silent engine.
 *
 * @param generation Observed state of the generation.
 */
export function decideSilenceAction(generation: SilentGeneration): SilenceAction {
	const {started, condition, sinceAliveMilliseconds, targetMilliseconds} = generation;
	if (leaveRules[condition](generation)) {
		return 'leave';
	}

	const queryAfter = started ? queryAfterMilliseconds : Math.min(queryBeforeFirstEventMilliseconds, targetMilliseconds * queryBeforeFirstEventShare);
	return sinceAliveMilliseconds >= queryAfter ? 'query' : 'wait';
}

/** Number of consecutive unanswered queries after which an engine no longer counts as alive. */
export const minimumUnansweredQueries = 2;

/**
 * Returns the condition of an engine.
 *
 * @param unanswered Outcomes of the consecutive queries without a report, the latest last.
 */
export function conditionOf(unanswered: ReadonlyArray<Exclude<EngineCondition, 'alive'>>): EngineCondition {
	if (unanswered.length < minimumUnansweredQueries) {
		return 'alive';
	}

	return unanswered.slice(-minimumUnansweredQueries).every(kind => kind === 'unreachable') ? 'unreachable' : 'unresponsive';
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

/**
 * Returns whether a report shows that an engine works on a started attempt: it has generated more than the report before showed, or it
 * reads the prompt again after a preemption.
 *
 * @param report The engine's report.
 * @param previous The report before, if there is one.
 * @param attemptId Id of the attempt.
 */
export function showsWork(report: EngineReport, previous: EngineReport | undefined, attemptId: string): boolean {
	const run = report.runs.find(({attempt}) => attempt === attemptId);
	if (!run) {
		return report.waiting === 0 && report.running > report.runs.length;
	}

	const before = previous?.runs.find(({attempt}) => attempt === attemptId);
	return before !== undefined && (run.events > before.events || run.tokens > before.tokens);
}

/**
 * Returns the number of events that an engine counts for a resumed attempt beyond those that have arrived from it: those that other engines
 * generated before.
 *
 * @param report The first report that shows the attempt.
 * @param attemptId Id of the attempt.
 * @param received Number of events of this attempt that have arrived.
 * @returns `undefined` if the report does not show the attempt.
 */
export function countEventsBefore({runs}: EngineReport, attemptId: string, received: number): number | undefined {
	const run = runs.find(({attempt}) => attempt === attemptId);
	return run && Math.max(0, run.events - received);
}

/** Number of reported but unreceived events from which on the connection counts as stalled rather than slow. */
const missedEventsThreshold = 12;

/**
 * Returns whether a report shows that an engine has generated events that have not arrived, so that the connection has stalled.
 *
 * @param report The engine's report.
 * @param attemptId Id of the attempt.
 * @param received Number of events that have arrived, with those that the attempt began with.
 */
export function hasUndeliveredEvents({runs}: EngineReport, attemptId: string, received: number): boolean {
	const run = runs.find(candidate => candidate.attempt === attemptId);
	return run !== undefined && run.events - received >= missedEventsThreshold;
}
