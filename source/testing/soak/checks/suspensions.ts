/**
 * What becomes of requests at workers that are suspended for a while and then go on.
 *
 * @module
 */
import {type WorkerRun} from '../../stand-ins/worker-options.ts';
import {
	contactMilliseconds, isInTouch, isWorkerSound, type CallKind, type History, type SeenRequest,
} from '../history.ts';
import {endOf, requestsWithRuns, type RequestWithRuns} from './_index-runs.ts';
import {type Check} from './check.ts';

/** Time that the route of each kind of request gives it, in milliseconds. */
const timeouts: Record<CallKind, number> = {idempotent: 3000, once: 3000, generation: 15_000};

/** Time before the end of its time in which a request may be given up, in milliseconds. */
const earlyMilliseconds = 100;

/** Statuses with which the gateway itself gives a request up. */
const givenUpStatuses = new Set([0, 502, 504]);

/** A request is not broken off, and a generation does not go on elsewhere, since its worker is suspended for a while. */
export const suspendedWorkers: Check = (history, now) => requestsWithRuns(history).flatMap(({request, runs}) => {
	const run = runs.find(candidate => wasSuspended(history, candidate, now));
	const fault = run && !isExcused(history, request, run, now) ? faultOf({request, runs}, run) : undefined;
	return fault === undefined ? [] : [{attempt: request.attempt, message: `${fault}, as ${run!.worker} was suspended`}];
});

function wasSuspended({suspensions}: History, {worker, startedAt, endedAt}: WorkerRun, now: number): boolean {
	return suspensions.some(({worker: suspended, from, until}) => suspended === worker && startedAt <= until && (endedAt ?? now) >= from);
}

function isExcused(history: History, request: SeenRequest, run: WorkerRun, now: number): boolean {
	const end = endOf(request, now);
	return request.leftAt !== undefined || !isInTouch(history, request.gateway, request.sentAt, end) || !isWorkerSound(history, run, request.sentAt - contactMilliseconds, end);
}

function faultOf({request: {kind, sentAt, deadlineMilliseconds, answer}, runs}: RequestWithRuns, run: WorkerRun): string | undefined {
	const dueAt = sentAt + Math.min(deadlineMilliseconds, timeouts[kind]) - earlyMilliseconds;
	if (answer && answer.at < dueAt && (givenUpStatuses.has(answer.status) || !answer.whole)) {
		return `given up with ${answer.status}`;
	}

	const next = runs[runs.indexOf(run) + 1];
	return kind === 'generation' && next ? `sent to ${next.worker} as well` : undefined;
}
