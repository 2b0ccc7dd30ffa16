/**
 * Whether gateways do what workers say of themselves. These promises hold for gateways in touch or not.
 *
 * @module
 */
import {type History, type SeenRequest} from '../history.ts';
import {type Check, type Violation} from './check.ts';

/** Time from which a worker gets nothing more after its leaving was passed on, in milliseconds. */
const leavingMilliseconds = 2000;

/** Time after a refusal with a time to come back from which a worker gets nothing more, in milliseconds. */
const backoffFromMilliseconds = 500;

/** Requests that a worker may get from one gateway all the same. */
const allowedWhileBackedOff = 2;

/** What lets a gateway forget, or act late on, what it was told: it starts anew, or stands still. */
const forgetfulKinds = new Set(['gateway paused', 'gateway killed', 'gateways killed together', 'gateway stopped', 'all gateways killed', 'this process is late']);

/** What else excuses requests to a worker that asks to back off: they may have been under way. */
const cutKinds = new Set(['link to a worker']);

type Excuse = {kinds: ReadonlySet<string>; targets: readonly string[]; from: number; until: number};

function isExcused({disturbances}: History, {kinds, targets, from, until}: Excuse): boolean {
	return disturbances.some(disturbance => kinds.has(disturbance.kind) && [...targets, 'all'].includes(disturbance.target)
		&& disturbance.from <= until && (disturbance.until ?? Number.POSITIVE_INFINITY) >= from);
}

/** The worker that said of an attempt that it leaves; an attempt may reach several, and with two such workers it is not known whose answer was passed on. */
function leavingWorkers({arrivals}: History): Map<string, string | undefined> {
	const workers = new Map<string, string | undefined>();
	for (const {attempt, worker} of arrivals.filter(({saysLeaving}) => saysLeaving)) {
		const isAmbiguous = workers.has(attempt) && workers.get(attempt) !== worker;
		workers.set(attempt, isAmbiguous ? undefined : worker);
	}

	return workers;
}

/** The first answer of each worker, through each gateway, that said that the worker leaves. */
function passedOnLeavings(history: History): Map<string, number> {
	const leavings = new Map<string, number>();
	const workers = leavingWorkers(history);
	for (const {attempt, gateway, answer} of history.requests) {
		const worker = workers.get(attempt);
		if (answer?.saysLeaving && worker !== undefined) {
			const name = `${gateway} ${worker}`;
			leavings.set(name, Math.min(answer.at, leavings.get(name) ?? Number.POSITIVE_INFINITY));
		}
	}

	return leavings;
}

/** A worker whose leaving a gateway has passed on gets nothing more from it that callers send later. */
export const wordOfLeaving: Check = history => {
	const leavings = passedOnLeavings(history);
	const requests = requestsByAttempt(history);
	return history.arrivals.flatMap(({attempt, worker}): Violation[] => {
		const request = requests.get(attempt);
		const saidAt = request && leavings.get(`${request.gateway} ${worker}`);
		const isLate = saidAt !== undefined && request!.sentAt > saidAt + leavingMilliseconds;
		const excused = isLate && isExcused(history, {
			kinds: forgetfulKinds, targets: [request!.gateway], from: saidAt, until: request!.sentAt,
		});
		return isLate && !excused ? [{attempt, message: `${worker} got it ${Math.round(request!.sentAt - saidAt)} ms after ${request!.gateway} had passed on that it leaves`}] : [];
	});
};

/** A worker that asks to back off gets next to nothing from each gateway that it told. */
export const backedOffWorkers: Check = history => {
	const requests = requestsByAttempt(history);
	return history.arrivals.flatMap(({attempt, worker, at, backoffUntil}): Violation[] => {
		const gateway = requests.get(attempt)?.gateway;
		if (backoffUntil === undefined || gateway === undefined) {
			return [];
		}

		const during = history.arrivals.filter(other => other.worker === worker && requests.get(other.attempt)?.gateway === gateway && other.at > at + backoffFromMilliseconds && other.at < backoffUntil);
		const excused = during.length > allowedWhileBackedOff && (
			isExcused(history, {
				kinds: forgetfulKinds, targets: [gateway], from: at - backoffFromMilliseconds, until: backoffUntil,
			}) || isExcused(history, {
				kinds: cutKinds, targets: [history.slots.get(worker) ?? worker], from: at - backoffFromMilliseconds, until: backoffUntil,
			}));
		return during.length > allowedWhileBackedOff && !excused ? [{attempt, message: `${worker} got ${during.length} more from ${gateway} while it asked to back off`}] : [];
	});
};

function requestsByAttempt({requests}: History): Map<string, SeenRequest> {
	return new Map(requests.map(request => [request.attempt, request]));
}
