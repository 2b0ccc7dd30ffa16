/**
 * The checks of the soak, by name. Each reads only what callers, workers and the operator saw.
 *
 * @module
 */
import {
	answersInTime, plannedStops, wholeAnswers, wholeStreams,
} from './answers.ts';
import {type Check} from './check.ts';
import {configurationInTime, withdrawnKeys} from './configuration.ts';
import {boundedMemory, noEndsOfTheirOwn, recovery} from './processes.ts';
import {
	boundedAttempts, endingParts, endingRequests, leavingWorkers, leftCallers, notRunIsTrue, oneEngineAtATime, runsOnce, stalledGenerations, unchangedRequests,
} from './runs.ts';
import {retryBudget} from './retries.ts';
import {endOfEachRequest} from './ends.ts';
import {backedOffWorkers, wordOfLeaving} from './endpoint-signals.ts';
import {keptLimits} from './limits.ts';
import {suspendedWorkers} from './suspensions.ts';

export type {Check, Violation} from './check.ts';

/** All checks. */
export const checks = {
	runsOnce,
	notRunIsTrue,
	unchangedRequests,
	oneEngineAtATime,
	boundedAttempts,
	retryBudget,
	endingRequests,
	endingParts,
	leftCallers,
	leavingWorkers,
	stalledGenerations,
	suspendedWorkers,
	wordOfLeaving,
	backedOffWorkers,
	keptLimits,
	wholeAnswers,
	wholeStreams,
	answersInTime,
	endOfEachRequest,
	plannedStops,
	withdrawnKeys,
	configurationInTime,
	noEndsOfTheirOwn,
	boundedMemory,
	recovery,
} satisfies Record<string, Check>;

/** Name of a check. */
export type CheckName = keyof typeof checks;
