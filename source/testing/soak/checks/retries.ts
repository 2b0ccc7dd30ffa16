/**
 * How many retries reach a service.
 *
 * @module
 */
import {findRetryExcess} from '../../retry-excess.ts';
import {type History, type SeenRequest} from '../history.ts';
import {prefixOf} from '../requests.ts';
import {type Check, type Violation} from './check.ts';
import {inForce} from './configuration.ts';

/** Requests reach a service once more only within the budget of all gateways together, in any window, whether they are run or refused. */
export const retryBudget: Check = history => {
	const {arrivals, retryBounds} = history;
	return [...new Set(arrivals.map(({service}) => service))].flatMap((service): Violation[] => {
		const ofService = arrivals.filter(arrival => arrival.service === service);
		const excess = findRetryExcess(ofService, sendTimesFor(history, service), retryBounds);
		return excess ? [{message: `${excess.retries} retries at ${service} within ${retryBounds.windowMilliseconds} ms, ${excess.allowed} are allowed`}] : [];
	});
};

/** When the requests for a service were sent: those that reached it, and those that reached none and are on a route to it. */
function sendTimesFor(history: History, service: string): number[] {
	const reached = servicesReached(history);
	return history.requests
		.filter(request => reached.get(request.attempt)?.has(service) ?? isRoutedTo(history, request, service))
		.map(({sentAt}) => sentAt);
}

/** The services that each attempt reached. */
function servicesReached({arrivals}: History): Map<string, Set<string>> {
	const reached = new Map<string, Set<string>>();
	for (const {attempt, service} of arrivals) {
		reached.set(attempt, (reached.get(attempt) ?? new Set()).add(service));
	}

	return reached;
}

/** Whether all configurations that may have been in force when a request was sent route it to a service. */
function isRoutedTo(history: History, {sentAt, target}: SeenRequest, service: string): boolean {
	return inForce(history, sentAt, sentAt).every(({services}) => services[prefixOf(target)] === service);
}
