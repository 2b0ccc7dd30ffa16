/**
 * How often, where and for whom requests run.
 *
 * @module
 */
import {type WorkerRun} from '../../stand-ins/worker-options.ts';
import {allowedLateSends, findLateSends, partKnownAfterEnds} from '../../late-sends.ts';
import {
	contactMilliseconds, isInTouch, isWorkerSound, type History, type SeenRequest,
} from '../history.ts';
import {endingPartOf} from '../requests.ts';
import {endOf, requestsWithRuns} from './_index-runs.ts';
import {type Check, type Violation} from './check.ts';

/** Statuses that say that a request was not and will not be run. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Time for which an engine may go on with a generation that another one has taken over, in milliseconds. */
const overlapMilliseconds = 400;

/** Endpoints that one attempt may reach, by kind of request. */
const mostWorkers = {idempotent: 2, once: 1, generation: 5};

/** Attempts beyond that bound which are allowed. */
const allowedExcesses = 3;

/** A request that may not be repeated runs once at most. */
export const runsOnce: Check = history => requestsWithRuns(history)
	.filter(({request, runs}) => request.kind === 'once' && runs.length > 1)
	.map(({request, runs}) => ({attempt: request.attempt, message: `ran at ${runs.map(({worker}) => worker).join(' and ')}`}));

/** An answer that says "not run" is true, for good. */
export const notRunIsTrue: Check = history => requestsWithRuns(history)
	.filter(({request, runs}) => request.kind === 'once' && runs.length > 0 && request.answer && request.answer.stamp === undefined && notRunStatuses.has(request.answer.status))
	.map(({request, runs}) => ({attempt: request.attempt, message: `answered ${request.answer!.status}, but ran at ${runs[0]!.worker}`}));

/** A worker gets what the caller sent, and the workspace that holds the caller's key. */
export const unchangedRequests: Check = history => {
	const requests = new Map(history.requests.map(request => [request.attempt, request]));
	return history.runs.flatMap(run => {
		const request = requests.get(run.attempt);
		const fault = request ? changeOf(request, run) : 'no caller sent it';
		return fault === undefined ? [] : [{attempt: run.attempt, message: `${run.worker}: ${fault}`}];
	});
};

function changeOf(request: SeenRequest, run: WorkerRun): string | undefined {
	const same: Array<[string, unknown, unknown]> = [
		['method', run.method, request.method],
		['target', run.target, request.target],
		['body', run.body, request.body],
		['workspace', run.headers['x-azuretack-tenant'], request.workspace],
		['key', run.headers.authorization, undefined],
		['hold', run.headers['x-azuretack-hold'], undefined],
	];
	const wrong = same.find(([, seen, sent]) => seen !== sent);
	return wrong && `${wrong[0]} is ${String(wrong[1])} in place of ${String(wrong[2])}`;
}

/** A generation goes on elsewhere only when the engine before has stopped, or cannot be reached. */
export const oneEngineAtATime: Check = (history, now) => requestsWithRuns(history).flatMap(({request, runs}) => {
	if (request.kind !== 'generation') {
		return [];
	}

	return runs.slice(1).flatMap((run, index): Violation[] => {
		const before = runs[index]!;
		const until = run.startedAt + overlapMilliseconds;
		const overlaps = now > until && (before.endedAt ?? now) > until;
		const excused = !isInTouch(history, request.gateway, request.sentAt, until) || !isWorkerSound(history, before, before.startedAt, until);
		return overlaps && !excused ? [{attempt: request.attempt, message: `${before.worker} still worked on it when ${run.worker} had gone on`}] : [];
	});
});

/** An attempt reaches no more workers than its route allows, but for those that failed meanwhile. */
export const boundedAttempts: Check = (history, now) => {
	const beyond = requestsWithRuns(history).filter(({request, runs}) => {
		const sound = runs.filter(run => isWorkerSound(history, run, run.startedAt, endOf(request, now)));
		return new Set(sound.map(({worker}) => worker)).size > mostWorkers[request.kind];
	});
	return beyond.length > allowedExcesses ? beyond.map(({request, runs}) => ({attempt: request.attempt, message: `ran at ${runs.length} workers`})) : [];
};

/** A request that ends workers is held back once all gateways must know of it; gateways that were harmed are excused. */
export const endingRequests: Check = history => {
	const requests = new Map(history.requests.map(request => [request.attempt, request]));
	const bodies = new Set(history.endings.map(({attempt}) => requests.get(attempt)!.body));
	return [...bodies].flatMap((body): Violation[] => {
		const isOf = ({attempt}: {attempt: string}) => requests.get(attempt)?.body === body;
		const arrivals = history.arrivals.filter(arrival => isOf(arrival) && isInTouch(history, requests.get(arrival.attempt)!.gateway, arrival.at, arrival.at));
		const late = findLateSends({arrivals: arrivals.map(({at}) => at), ends: history.endings.filter(ending => isOf(ending)).map(({at}) => at)}, contactMilliseconds);
		return late.length > allowedLateSends ? [{message: `"${body}" reached workers ${late.length} times later than ${contactMilliseconds} ms after the third end`}] : [];
	});
};

/** Requests with a prompt part that ends workers are held back once all gateways must know of it; gateways that were harmed are excused. */
export const endingParts: Check = history => {
	const requests = new Map(history.requests.map(request => [request.attempt, request]));
	const partOf = ({attempt}: {attempt: string}) => endingPartOf(requests.get(attempt)?.body ?? '');
	const parts = new Set(history.endings.map(ending => partOf(ending)).filter(part => part !== undefined));
	return [...parts].flatMap((part): Violation[] => {
		const arrivals = history.arrivals.filter(arrival => partOf(arrival) === part && isInTouch(history, requests.get(arrival.attempt)!.gateway, arrival.at, arrival.at));
		const ends = history.endings.filter(ending => partOf(ending) === part).map(({at}) => at);
		const late = findLateSends({arrivals: arrivals.map(({at}) => at), ends}, contactMilliseconds, partKnownAfterEnds);
		return late.length > allowedLateSends ? [{message: `requests with part ${part} reached workers ${late.length} times later than ${contactMilliseconds} ms after the fifth end`}] : [];
	});
};

/** Time after which workers are told of a caller that left, in milliseconds. */
const leftMilliseconds = 500;

/** Requests of callers that left from which their share counts. */
const leftSample = 8;

/** Work for callers that left ends soon. */
export const leftCallers: Check = (history, now) => {
	const left = requestsWithRuns(history).filter(({request, runs}) => request.kind !== 'once' && request.leftAt !== undefined && request.leftAt + leftMilliseconds < now
		&& runs.length > 0 && isInTouch(history, request.gateway, request.sentAt, request.leftAt + leftMilliseconds)
		&& runs.every(run => isWorkerSound(history, run, run.startedAt, request.leftAt! + leftMilliseconds)));
	const working = left.filter(({request, runs}) => runs.some(({endedAt}) => (endedAt ?? now) > request.leftAt! + leftMilliseconds));
	return left.length >= leftSample && working.length > left.length / 4
		? working.map(({request}) => ({attempt: request.attempt, message: 'a worker still worked on it after its caller had left'}))
		: [];
};

/** Time from which a worker that leaves gets nothing more, in milliseconds. */
const leavingMilliseconds = 2000;

/** A worker that leaves gets no more requests. */
export const leavingWorkers: Check = history => requestsWithRuns(history).flatMap(({request, runs}) => runs.flatMap((run): Violation[] => {
	const leaving = history.leavings.find(({worker}) => worker === run.worker);
	const late = leaving !== undefined && run.startedAt > leaving.at + leavingMilliseconds;
	const excused = late && (!isInTouch(history, request.gateway, leaving.at, run.startedAt) || !isWorkerSound(history, run, run.startedAt - leavingMilliseconds, run.startedAt));
	return late && !excused ? [{attempt: request.attempt, message: `${run.worker} got it ${Math.round(run.startedAt - leaving.at)} ms after it was leaving`}] : [];
}));

/** Time from which a stalled generation must have been left: six of the pauses that its route allows, and a second, in milliseconds. */
const stalledMilliseconds = 5200;

/** An engine whose answer stalls is left, also when bytes that complete no event still come. */
export const stalledGenerations: Check = (history, now) => requestsWithRuns(history).flatMap(({request, runs}) => runs.flatMap((run): Violation[] => {
	const until = Math.min(run.endedAt ?? now, now);
	const heldMilliseconds = run.stalledAt === undefined ? 0 : until - run.stalledAt;
	const slot = history.slots.get(run.worker) ?? run.worker;
	const isCut = history.disturbances.some(disturbance => disturbance.kind === 'link to a worker' && disturbance.target === slot
		&& disturbance.from <= until && (disturbance.until ?? now) >= run.startedAt);
	const excused = isCut || !isInTouch(history, request.gateway, run.startedAt, until);
	return heldMilliseconds > stalledMilliseconds && !excused ? [{attempt: request.attempt, message: `stayed at ${run.worker} for ${Math.round(heldMilliseconds)} ms after it had stalled`}] : [];
}));
