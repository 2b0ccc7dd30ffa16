/**
 * How requests end: each with an answer or a refusal, unless its caller left or something named harmed it.
 *
 * @module
 */
import {
	contactMilliseconds, isDisturbed, isWorkerSound, type History, type SeenRequest,
} from '../history.ts';
import {endOf, requestsWithRuns, type RequestWithRuns} from './_index-runs.ts';
import {type Check} from './check.ts';

/** Time beyond a deadline after which a request counts as one without an end, in milliseconds. */
const overdueMilliseconds = 1500;

/** Time from the signal of a planned stop after which requests that are still in progress may be cut, in milliseconds: 0.9 of the time that the soak gives. */
const cutMilliseconds = 7200;

/** How a request ended that it must not end with. */
type BadEnd = {
	message: string;
	/** Whether an answer had begun, which an endpoint that is harmed may leave incomplete. */
	hasBegun: boolean;
};

/**
 * Each request that reached a gateway whole ends in an answer or a refusal: a worker ran it, or the gateway was seen to answer since it was last harmed. Excused are those whose caller left first, whose gateway or
 * connection to it was harmed, and those in progress at the end of a planned stop; an answer that had begun also by harm to the store or a worker that
 * ran it, and at its deadline. Configurations, new settings, suspended workers and the beginning of a planned stop excuse none.
 */
export const endOfEachRequest: Check = (history, now) => requestsWithRuns(history).flatMap(seen => {
	const badEnd = badEndOf(seen.request, now);
	return badEnd === undefined || isExcused(history, seen, badEnd, endOf(seen.request, now)) ? [] : [{attempt: seen.request.attempt, message: badEnd.message}];
});

/** Says what is wrong with the end of a request; a caller that gave up long after its deadline doesn't hide it. */
function badEndOf({sentAt, deadlineMilliseconds, answer, leftAt}: SeenRequest, now: number): BadEnd | undefined {
	const deadline = sentAt + deadlineMilliseconds;
	if (!answer) {
		return Math.min(now, leftAt ?? now) > deadline + overdueMilliseconds ? {message: 'it got neither an answer nor a refusal', hasBegun: false} : undefined;
	}

	const after = `after ${Math.round(answer.at - sentAt)} ms`;
	if (answer.status === 0) {
		return {message: `its connection closed without an answer ${after}`, hasBegun: false};
	}

	return answer.whole || answer.at >= deadline ? undefined : {message: `its answer was cut ${after}`, hasBegun: true};
}

function isExcused(history: History, {request, runs}: RequestWithRuns, {hasBegun}: BadEnd, end: number): boolean {
	const {gateway, sentAt, connectedAt = sentAt} = request;
	const from = Math.min(connectedAt, sentAt - contactMilliseconds);
	return isDisturbed(withoutStops(history, gateway), [gateway], from, end)
		|| (runs.length === 0 && !hasAnswered(history, request, end))
		|| isExcusedByStop(history, {request, runs}, end)
		|| (hasBegun && isDisturbed(withoutStops(history, gateway), ['store'], sentAt - contactMilliseconds, end))
		|| (hasBegun && runs.some(run => !isWorkerSound(history, run, sentAt - contactMilliseconds, end)));
}

/** Whether a gateway has answered any caller since it was last harmed, which shows that it accepts connections: on a busy machine its start may take longer than seconds. */
function hasAnswered({disturbances, requests}: History, {gateway, sentAt}: SeenRequest, end: number): boolean {
	const harms = disturbances.filter(({target, from}) => (target === 'all' || target === gateway) && from < sentAt);
	const soundFrom = Math.max(0, ...harms.map(({until}) => until ?? end));
	return requests.some(other => other.gateway === gateway && other.sentAt > soundFrom && other.answer !== undefined && other.answer.status > 0 && other.answer.at <= end);
}

/** Whether a planned stop excuses a request: it was in progress at the end of the stop, or was sent after its beginning and nothing shows that the gateway read it. */
function isExcusedByStop({stops}: History, {request: {gateway, sentAt}, runs}: RequestWithRuns, end: number): boolean {
	return stops.some(({gateway: name, at}) => name === gateway && at <= end
		&& (sentAt < at + cutMilliseconds ? end > at + cutMilliseconds || (sentAt > at && runs.length === 0) : sentAt < at + cutMilliseconds + contactMilliseconds));
}

/** What was seen, without the disturbances that planned stops of a gateway are noted as. */
function withoutStops(history: History, gateway: string): History {
	const times = new Set(history.stops.filter(({gateway: name}) => name === gateway).map(({at}) => at));
	return {...history, disturbances: history.disturbances.filter(({target, from}) => target !== gateway || !times.has(from))};
}
