/**
 * Which configuration a request is handled by.
 *
 * @module
 */
import {
	isInTouch, type History, type SeenConfiguration, type SeenRequest,
} from '../history.ts';
import {prefixOf} from '../requests.ts';
import {endOf, requestsWithRuns} from './_index-runs.ts';
import {type Check, type Violation} from './check.ts';

/** Time after which a key that was taken away is served nowhere, in milliseconds. */
const withdrawnMilliseconds = 5000;

/** Time within which a configuration is in force, in milliseconds. */
const configurationMilliseconds = 2000;

/** Statuses of a request that the configuration does not allow. */
const deniedStatuses = new Set([401, 403, 404]);

/** A key that was taken away is served nowhere some seconds later, whatever has failed. */
export const withdrawnKeys: Check = history => requestsWithRuns(history).flatMap(({request, runs}): Violation[] => {
	const withdrawn = withdrawnAt(history, request);
	return runs.length > 0 && withdrawn !== undefined && request.sentAt > withdrawn + withdrawnMilliseconds
		? [{attempt: request.attempt, message: `ran with a key that was taken away ${Math.round(request.sentAt - withdrawn)} ms before`}]
		: [];
});

/** When the key of a request was taken away, if the newest configuration at the request lacks it. */
function withdrawnAt({configurations}: History, {key, sentAt}: SeenRequest): number | undefined {
	const known = configurations.filter(({at}) => at < sentAt);
	const last = known.findLastIndex(configuration => holdsKey(configuration, key));
	return last === -1 ? undefined : known[last + 1]?.at;
}

function holdsKey({keys}: SeenConfiguration, key: string): boolean {
	return Object.values(keys).some(held => held.includes(key));
}

/** A request runs only where a configuration allows it that may be in force, and is denied only if one may forbid it. */
export const configurationInTime: Check = (history, now) => requestsWithRuns(history).flatMap(({request, runs}): Violation[] => {
	const end = endOf(request, now);
	const inTouch = isInTouch(history, request.gateway, request.sentAt, end);
	const possible = inTouch ? inForce(history, request.sentAt, end) : history.configurations;
	const services = possible.map(({services: byPrefix}) => byPrefix[prefixOf(request.target)]);
	const strayed = runs.find(({service}) => !services.includes(service));
	if (strayed) {
		return [{attempt: request.attempt, message: `ran at ${strayed.service}; the configurations in force say ${services.map(String).join(', ')}`}];
	}

	const isDenied = request.answer !== undefined && request.answer.stamp === undefined && deniedStatuses.has(request.answer.status);
	const allAllow = possible.every(configuration => holdsKey(configuration, request.key) && configuration.services[prefixOf(request.target)] !== undefined);
	return isDenied && inTouch && allAllow ? [{attempt: request.attempt, message: `denied with ${request.answer!.status} though all configurations allow it`}] : [];
});

/** Configurations that may be in force at some moment of a span. */
export function inForce({configurations}: History, from: number, until: number): SeenConfiguration[] {
	return configurations.filter(({at}, index) => {
		const replacedAt = configurations[index + 1]?.at ?? Number.POSITIVE_INFINITY;
		return at <= until && replacedAt + configurationMilliseconds >= from;
	});
}
