/**
 * Decides what to do about an engine that says nothing.
 *
 * Answers two loads: an engine that is busy reading other prompts is silent for seconds and must be left alone, and one that has
 * died without a word must be left within the pause that callers accept.
 *
 * @module
 */
import {type EngineReport} from '../balancing/mod.ts';

/** What is known of a silent generation. */
export type SilentGeneration = {
	/** Whether this attempt has brought an event. */
	started: boolean;
	/** Time since its answer last got on, by its head or an event, in milliseconds. */
	silentMilliseconds: number;
	/** Time since the engine was last known to be alive, in milliseconds. */
	unprovenMilliseconds: number;
	/** Longest pause between events of an answer that is on time, in milliseconds. */
	eventPauseMilliseconds: number;
	/** Time to the first event of an answer that is on time, in milliseconds. */
	targetMilliseconds: number;
	/** Whether an engine holds a copy of its memory, so that going on there costs little. */
	hasCopy: boolean;
};

/** What to do. */
export type SilenceStep = 'wait' | 'ask' | 'leave';

/** Silence in the middle of an answer after which the engine is asked whether it lives, in milliseconds. */
const askAfterMilliseconds = 250;

/** Silence before the first event after which the engine is asked whether it lives, in milliseconds. */
const askBeforeFirstMilliseconds = 600;

/** Pauses that a started generation with a copy elsewhere is given. */
const pausesWithCopy = 3;

/** Pauses that a started generation without a copy is given. */
const pausesWithoutCopy = 6;

/** Share of the target that a generation is given up to its first event: the engine may read other prompts first. */
const firstEventShare = 1.6;

/**
 * Decides about a silent engine that has not been found dead.
 *
 * @param generation What is known.
 */
export function decideOnSilence(generation: SilentGeneration): SilenceStep {
	const {started, silentMilliseconds, unprovenMilliseconds, eventPauseMilliseconds, targetMilliseconds, hasCopy} = generation;
	const longest = started ? eventPauseMilliseconds * (hasCopy ? pausesWithCopy : pausesWithoutCopy) : targetMilliseconds * firstEventShare;
	if (silentMilliseconds >= longest) {
		return 'leave';
	}

	const askAfter = started ? askAfterMilliseconds : askBeforeFirstMilliseconds;
	return unprovenMilliseconds >= askAfter ? 'ask' : 'wait';
}

/** What is known of an engine that does not answer questions. */
export type UnansweredQuestions = {
	/** Questions in a row that it has not answered. */
	unanswered: number;
	/** Time since its answer last got on, in milliseconds. */
	silentMilliseconds: number;
	/** Longest pause between events of an answer that is on time, in milliseconds. */
	eventPauseMilliseconds: number;
	/** Whether an engine holds a copy of the generation's memory, so that going on there costs little. */
	hasCopy: boolean;
};

/** Unanswered questions in a row after which an engine may count as dead. */
const unansweredQuestions = 2;

/**
 * Whether an engine that does not answer questions counts as dead.
 *
 * Where there is a copy, it is left in time to go on within the pause that callers accept. Without one the prompt must be read again,
 * which takes longer than that pause, so an engine that may only be slow to report is given the whole of it.
 *
 * @param questions What is known.
 */
export function countsAsDead({unanswered, silentMilliseconds, eventPauseMilliseconds, hasCopy}: UnansweredQuestions): boolean {
	return unanswered >= unansweredQuestions && (hasCopy || silentMilliseconds >= eventPauseMilliseconds);
}

/**
 * Whether a report proves that a generation is no longer at its engine.
 *
 * @param report The engine's report.
 * @param startedAt Start of the engine that the generation was sent to, in Unix milliseconds; 0 where it is not known.
 */
export function provesRestart(report: EngineReport, startedAt: number): boolean {
	return startedAt !== 0 && report.startedAt !== 0 && report.startedAt !== startedAt;
}

/**
 * Whether a report shows that an engine neither works on an attempt nor has any request waiting that could be it.
 *
 * A report is some hundred milliseconds old, so one alone proves nothing of an attempt that was just sent.
 *
 * @param report The engine's report.
 * @param attempt Name of the attempt.
 */
export function lacksAttempt({runs, running, waiting}: EngineReport, attempt: string): boolean {
	return waiting === 0 && runs.length === running && !runs.some(run => run.attempt === attempt);
}

/** Events beyond those that were received which an engine reports when its connection is not merely slow. */
const missedEvents = 12;

/**
 * Whether a report shows that an engine has made events that have not arrived: the connection to it has fallen silent.
 *
 * @param report The engine's report.
 * @param attempt Name of the attempt.
 * @param received Events of this attempt that have arrived.
 */
export function withholdsEvents({runs}: EngineReport, attempt: string, received: number): boolean {
	const run = runs.find(candidate => candidate.attempt === attempt);
	return run !== undefined && run.events - received >= missedEvents;
}
