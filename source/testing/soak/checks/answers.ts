/**
 * What callers get: whole answers of their own, in order and in time.
 *
 * @module
 */
import {type WorkerRun} from '../../stand-ins/worker-options.ts';
import {
	isDisturbed, isInTouch, isWorkerSound, contactMilliseconds, type History, type SeenAnswer, type SeenRequest,
} from '../history.ts';
import {eventText, lastEventOf, splitEvents} from '../requests.ts';
import {endOf, requestsWithRuns} from './_index-runs.ts';
import {type Check, type Violation} from './check.ts';

/** A plain answer is the whole answer of the worker that it names, to this request. */
export const wholeAnswers: Check = history => requestsWithRuns(history).flatMap(({request, runs}) => {
	const fault = request.answer ? faultOf(request, request.answer, runs) : undefined;
	return fault === undefined ? [] : [{attempt: request.attempt, message: fault}];
});

function faultOf({attempt, kind}: SeenRequest, {status, stamp, attempt: named, body, whole}: SeenAnswer, runs: readonly WorkerRun[]): string | undefined {
	if (named !== undefined && named !== attempt) {
		return `the answer is that to ${named}`;
	}

	if (status === 0) {
		return undefined;
	}

	const isSuccess = status >= 200 && status < 300;
	if (stamp === undefined) {
		return isSuccess ? 'a success that no worker proves' : undefined;
	}

	const run = runs.find(({worker}) => stamp === `stamp-${worker}`);
	if (run?.status !== status) {
		return `answered ${status} in the name of ${stamp}, which did not answer so`;
	}

	return isSuccess && whole && kind !== 'generation' && body !== run.answer ? `the body is not that of ${run.worker}: ${body.slice(0, 80)}` : undefined;
}

/** Events come once each and in order, and an answer that ends as complete has the last one. */
export const wholeStreams: Check = history => history.requests.flatMap((request): Violation[] => {
	const {answer} = request;
	if (request.kind !== 'generation' || answer?.status !== 200) {
		return [];
	}

	const {events, rest} = splitEvents(answer.body);
	const wrong = events.findIndex((event, index) => event !== `id: ${request.lastEvent + index + 1}\ndata: ${eventText(request.body, request.lastEvent + index + 1)}`);
	if (wrong !== -1) {
		return [{attempt: request.attempt, message: `after event ${request.lastEvent + wrong} came ${JSON.stringify(events[wrong])}`}];
	}

	const last = request.lastEvent + events.length;
	return answer.whole && (rest !== '' || last !== lastEventOf(request.body))
		? [{attempt: request.attempt, message: `it ended as complete after event ${last} of ${lastEventOf(request.body)}`}]
		: [];
});

/** Time beyond a deadline in which the final answer must have come, in milliseconds. */
const lateMilliseconds = 500;

/** Requests without an answer from which their share counts. */
const lateSample = 8;

/** Each request gets its final answer by its deadline, unless its caller left before that. */
export const answersInTime: Check = (history, now) => {
	const due = history.requests.filter(request => dueAt(request) < Math.min(now, request.leftAt ?? now)
		&& isInTouch(history, request.gateway, request.sentAt, request.sentAt + request.deadlineMilliseconds));
	const late = due.filter(request => !request.answer || request.answer.at > dueAt(request));
	return late.length >= lateSample && late.length > due.length / 4
		? late.map(({attempt}) => ({attempt, message: 'no final answer by its deadline'}))
		: [];
};

/** Steady time by which the final answer to a request must have come, in milliseconds. */
function dueAt({sentAt, deadlineMilliseconds}: SeenRequest): number {
	return sentAt + deadlineMilliseconds + lateMilliseconds;
}

/** A planned stop cuts no request that a worker is running. */
export const plannedStops: Check = (history, now) => requestsWithRuns(history).flatMap(({request, runs}): Violation[] => {
	const {answer, gateway, sentAt, deadlineMilliseconds} = request;
	const end = endOf(request, now);
	const stop = history.stops.find(({gateway: name, at}) => name === gateway && at > sentAt && at < end);
	const isCut = answer !== undefined && (answer.status === 0 || !answer.whole);
	if (!stop || !isCut || runs.length === 0 || request.leftAt !== undefined || answer.at >= sentAt + deadlineMilliseconds) {
		return [];
	}

	const excused = isHarmed(history, request, stop.at, end) || runs.some(run => !isWorkerSound(history, run, sentAt - contactMilliseconds, end));
	return excused ? [] : [{attempt: request.attempt, message: `cut ${Math.round(end - stop.at)} ms after ${gateway} was told to stop`}];
});

/** Whether anything but the planned stop itself harmed a request. */
function isHarmed(history: History, {gateway, sentAt}: SeenRequest, stoppedAt: number, end: number): boolean {
	const others = {...history, disturbances: history.disturbances.filter(({target, from}) => target !== gateway || from !== stoppedAt)};
	return isDisturbed(others, [gateway, 'store'], sentAt - contactMilliseconds, end);
}
