/**
 * Reads from the reports of an engine whether it works through the requests that are before an attempt.
 *
 * An engine that reads other prompts first sends no event of the attempt for seconds. Its reports tell it from one that hangs: prompts are
 * read, requests leave the queue. The prompt that it has read by then would be read once more at another engine.
 *
 * @module
 */
import {type EngineReport} from '../balancing/mod.ts';

/** Tokens of prompts that an engine has to read between two reports to show progress; parts that requests share count once in memory and blur the sum. */
const minimumPromptTokens = 256;

/**
 * Returns whether a report shows that the queue of an engine moves: since the report before, it has begun to answer a request, has admitted one,
 * or has read on in a prompt. That running requests go on, or that waiting ones leave, is no progress for those that wait.
 *
 * @param report The engine's report.
 * @param previous The report before.
 * @example
 * ```ts
 * const hasMoved = showsQueueProgress(report, previous);
 * ```
 */
export function showsQueueProgress(report: EngineReport, previous: EngineReport): boolean {
	if (report.startedAt !== previous.startedAt) {
		return false;
	}

	const hasBegunRun = !containsRuns(previous, report);
	const hasAdmitted = report.waiting < previous.waiting && report.running > previous.running;
	const hasReadOn = containsRuns(report, previous) && promptTokens(report) >= promptTokens(previous) + minimumPromptTokens;
	return hasBegunRun || hasAdmitted || hasReadOn;
}

/** Whether a report shows all the runs of another one. */
function containsRuns({runs}: EngineReport, other: EngineReport): boolean {
	const attempts = new Set(runs.map(({attempt}) => attempt));
	return other.runs.every(({attempt}) => attempts.has(attempt));
}

/** Tokens in memory of the requests whose prompts are being read. */
function promptTokens({usedTokens, heldTokens, runs}: EngineReport): number {
	return usedTokens - heldTokens - runs.reduce((sum, {tokens}) => sum + tokens, 0);
}
