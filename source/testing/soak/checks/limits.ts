/**
 * Whether the limits that workers name are kept by all gateways together.
 *
 * @module
 */
import {findLimitExcess} from '../../limit-excess.ts';
import {contactMilliseconds, type History} from '../history.ts';
import {type Check, type Violation} from './check.ts';

/** Time after a gateway passed on an answer that names a limit from which its requests count, in milliseconds. */
const toldMilliseconds = 500;

/** What excuses a gateway's requests: it started anew, stood still or was cut off. */
const excusingKinds = new Set(['gateway paused', 'gateway killed', 'gateways killed together', 'gateway stopped', 'all gateways killed', 'this process is late', 'link of callers', 'link to the store', 'link of gateways']);

/** The first answer of each worker, through each gateway, that named a limit. */
function firstNamings({requests, runs, arrivals}: History): Map<string, number> {
	const workerOf = new Map([...arrivals, ...runs].map(({attempt, worker}) => [attempt, worker]));
	const namings = new Map<string, number>();
	for (const {attempt, gateway, answer} of requests) {
		const name = `${gateway} ${workerOf.get(attempt)}`;
		if (answer?.namesLimit) {
			namings.set(name, Math.min(answer.at, namings.get(name) ?? Number.POSITIVE_INFINITY));
		}
	}

	return namings;
}

function isExcused({disturbances}: History, gateway: string, at: number): boolean {
	return disturbances.some(({kind, target, from, until}) => excusingKinds.has(kind) && [gateway, 'all'].includes(target)
		&& from <= at && (until ?? Number.POSITIVE_INFINITY) >= at - contactMilliseconds);
}

/** A worker that names a limit gets no more than it, from all gateways together that have passed that on. */
export const keptLimits: Check = history => {
	const namings = history.limits.length === 0 ? undefined : firstNamings(history);
	const gatewayOf = new Map(history.requests.map(({attempt, gateway}) => [attempt, gateway]));
	return [...new Set(history.limits.map(({worker}) => worker))].flatMap((worker): Violation[] => {
		const counted = history.arrivals.filter(({worker: reached, attempt, at}) => {
			const gateway = gatewayOf.get(attempt);
			const toldAt = namings?.get(`${gateway} ${worker}`);
			return reached === worker && gateway !== undefined && toldAt !== undefined && at >= toldAt + toldMilliseconds && !isExcused(history, gateway, at);
		});
		const excess = findLimitExcess(counted.map(({at}) => at), history.limits.filter(limit => limit.worker === worker), contactMilliseconds);
		const first = counted.find(({at}) => at === excess?.from);
		return excess ? [{attempt: first?.attempt, message: `${worker} got ${excess.requests} requests in 4 s from gateways that had passed on its limit; ${Math.floor(excess.allowed)} are allowed`}] : [];
	});
};
