/**
 * Chooses an endpoint that may be sent a request now, as far as the limits of endpoints are concerned.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** Chooses the best endpoint without those that lack permits, given by their ids; returns undefined if there is none. */
export type ChooseAmong = (lacking: ReadonlySet<string>) => EndpointEntry | undefined;

/**
 * Chooses an endpoint and acquires a permit for it if it has a limit; goes on to the next best one if it gets none.
 *
 * @param exchange The request.
 * @param choose Chooses among the remaining endpoints.
 * @param dependencies Components of the gateway that all requests share.
 * @returns The endpoint, which the request must be sent to now; undefined if there is none.
 */
export async function acquireEndpoint(exchange: Exchange, choose: ChooseAmong, dependencies: ForwardingDependencies): Promise<EndpointEntry | undefined> {
	const {endpoints, limiter, clock, countLimited} = dependencies;
	const {service: {name: service}, importance, requestName, callerDisconnected, deadline} = exchange;
	const isNeeded = () => !callerDisconnected.aborted && clock() < deadline;
	const now = clock();
	const all = endpoints.endpointsOf(service, now);
	const isLimited = limiter.usable(all, importance, now).length < all.length;
	const lacking = new Set<string>();
	for (;;) {
		const endpoint = isNeeded() ? choose(lacking) : undefined;
		if (endpoint === undefined) {
			return undefined;
		}

		if (await limiter.acquire(endpoint, {importance, requestName, isNeeded})) {
			if (lacking.size > 0 || isLimited) {
				countLimited(service, 'diverted');
			}

			return endpoint;
		}

		lacking.add(endpoint.id);
	}
}
