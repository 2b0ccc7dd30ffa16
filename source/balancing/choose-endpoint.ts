/**
 * Chooses the endpoint of a plain call.
 *
 * Answers the load of many routers that each send a few short calls a second to a handful of endpoints, some of which fail.
 *
 * @module
 */
import {type EndpointEntry} from '../beliefs/mod.ts';
import {type EndpointHealth} from './endpoint-health.ts';
import {type EndpointLoads} from './endpoint-loads.ts';

/** Options of {@linkcode chooseEndpoint}. */
export type ChooseEndpointOptions = {
	endpoints: readonly EndpointEntry[];
	/** Endpoints that this request has been sent to. */
	tried: ReadonlySet<string>;
	loads: EndpointLoads;
	health: EndpointHealth;
	/** Zone of this router. */
	availabilityZone: string;
	/** Steady time, in milliseconds. */
	now: number;
	random: () => number;
};

/** Load that an endpoint in another zone counts for more, as a share of its slots. */
const otherZoneLoad = 0.02;

/** Load that a rate of failures of 1 counts for, as a share of the endpoint's slots. */
const failureLoad = 3;

/** Load that chance adds at most, as a share of the slots, so that routers do not all choose alike. */
const randomLoad = 0.1;

/**
 * Chooses the endpoint with the least load that was not tried; those that just failed come last.
 *
 * @param options Endpoints and what is known of them.
 * @returns The endpoint; `undefined` where all were tried.
 */
export function chooseEndpoint(options: ChooseEndpointOptions): EndpointEntry | undefined {
	const {endpoints, tried, health, now} = options;
	const untried = endpoints.filter(({id}) => !tried.has(id));
	const sound = untried.filter(({id}) => !health.avoids(id, now));
	let best: EndpointEntry | undefined;
	let bestLoad = Number.POSITIVE_INFINITY;
	for (const endpoint of sound.length > 0 ? sound : untried) {
		const load = loadOf(endpoint, options);
		if (load < bestLoad) {
			best = endpoint;
			bestLoad = load;
		}
	}

	return best;
}

function loadOf({id, slots, availabilityZone}: EndpointEntry, options: ChooseEndpointOptions): number {
	const {loads, health, now, random} = options;
	const zone = availabilityZone === options.availabilityZone ? 0 : otherZoneLoad;
	return (loads.requests(id) / slots) + zone + (health.failureRate(id, now) * failureLoad) + (random() * randomLoad);
}
