/**
 * Chooses endpoints that may be sent a request now, as far as the limits that they name are concerned.
 *
 * @module
 */
import {type EndpointIncarnation} from '../registry/mod.ts';
import {type EndpointLimiter, type LimitedRequest} from '../limits/mod.ts';
import {type Placement} from './placement.ts';

/** Options of {@linkcode placePermitted}. */
export type PlacePermittedOptions = {
	/** Endpoints that must not be chosen. */
	exclude: ReadonlySet<string>;
	/** Chooses the best endpoint; returns undefined if all are excluded. */
	choose: (exclude: ReadonlySet<string>) => string | undefined;
	request: LimitedRequest;
	limiter: Pick<EndpointLimiter, 'acquire' | 'refused'>;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

/** Identifies an endpoint of the product's own interface, which is known by its address and names no incarnation. */
export function endpointIncarnation(address: string): EndpointIncarnation {
	return {id: address, startedAt: 0};
}

/**
 * Chooses an endpoint and acquires a permit for it if it has a limit; goes on to the next best one if it gets none.
 *
 * @param options Endpoints, request and limiter.
 * @returns The endpoint, which the request must be sent to now; undefined if there is none.
 */
export async function placePermitted({exclude, choose, request, limiter, clock}: PlacePermittedOptions): Promise<string | undefined> {
	const excluded = new Set([...exclude, ...limiter.refused(request.importance, clock())]);
	for (;;) {
		const endpoint = choose(excluded);
		if (endpoint === undefined || await limiter.acquire(endpointIncarnation(endpoint), request)) {
			return endpoint;
		}

		excluded.add(endpoint);
	}
}

/**
 * Returns the time after which a caller may retry if no endpoint of a service has a permit for its request; undefined if one may have.
 *
 * @param service Name of the service.
 * @param importance Importance of the request; 0 is the highest.
 * @param parts Endpoints, limiter and clock.
 * @returns Delay in milliseconds.
 */
export function limitedReturnDelay(service: string, importance: number, {placement, limiter, clock}: {placement: Pick<Placement, 'endpointsOf'>; limiter: Pick<EndpointLimiter, 'usable' | 'returnDelay'>; clock: () => number}): number | undefined {
	const all = placement.endpointsOf(service).map(({address}) => endpointIncarnation(address));
	const now = clock();
	return all.length > 0 && limiter.usable(all, importance, now).length === 0 ? limiter.returnDelay(all, now) : undefined;
}
