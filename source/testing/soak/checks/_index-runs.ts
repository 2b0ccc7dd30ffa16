/**
 * Looks runs up by attempt.
 *
 * @module
 */
import {type WorkerRun} from '../../stand-ins/worker-options.ts';
import {type History, type SeenRequest} from '../history.ts';

/** A request with its runs. */
export type RequestWithRuns = {request: SeenRequest; runs: WorkerRun[]};

/**
 * All requests, each with the runs that bear its name.
 *
 * @param history What was seen.
 */
export function requestsWithRuns(history: History): RequestWithRuns[] {
	const byAttempt = new Map<string, WorkerRun[]>(history.requests.map(({attempt}) => [attempt, []]));
	for (const run of history.runs) {
		byAttempt.get(run.attempt)?.push(run);
	}

	return history.requests.map(request => ({request, runs: byAttempt.get(request.attempt)!}));
}

/** End of a request as its caller saw it, or the present. */
export function endOf({answer, leftAt}: SeenRequest, now: number): number {
	return Math.min(answer?.at ?? now, leftAt ?? now);
}
