/**
 * Chooses the endpoint for a plain call.
 *
 * Designed for many gateways that each send a few short calls per second to a handful of endpoints, some of which fail.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {type EndpointHealth} from './endpoint-health.ts';
import {type EndpointLoads} from './endpoint-loads.ts';

/** Options of {@linkcode chooseEndpoint}. */
export type ChooseEndpointOptions = {
	endpoints: readonly EndpointEntry[];
	/** IDs of the endpoints that this request was already sent to. */
	tried: ReadonlySet<string>;
	loads: EndpointLoads;
	health: EndpointHealth;
	/** Availability zone of this gateway. */
	availabilityZone: string;
	/** Monotonic time, in milliseconds. */
	now: number;
	random: () => number;
};

/** Load added to an endpoint in another zone, as a share of its slots. */
const otherZonePenalty = 0.02;

/** Load added for a failure rate of 1, as a share of the endpoint's slots. */
const failurePenalty = 3;

/** Maximum random load added, as a share of the slots, so that gateways do not all choose the same endpoint. */
const maximumJitter = 0.1;

/**
 * Chooses the untried endpoint with the lowest effective load. Endpoints that failed recently are used only if there is no other.
 *
 * @param options Endpoints and their state.
 * @returns The endpoint; `undefined` if all were tried.
 */
export function chooseEndpoint(options: ChooseEndpointOptions): EndpointEntry | undefined {
	const {endpoints, tried, health, now} = options;
	const untried = endpoints.filter(({id}) => !tried.has(id));
	const healthy = untried.filter(({id}) => !health.shouldAvoid(id, now));
	let best: EndpointEntry | undefined;
	let bestLoad = Number.POSITIVE_INFINITY;
	for (const endpoint of healthy.length > 0 ? healthy : untried) {
		const load = effectiveLoad(endpoint, options);
		if (load < bestLoad) {
			best = endpoint;
			bestLoad = load;
		}
	}

	return best;
}

function effectiveLoad({id, slots, availabilityZone}: EndpointEntry, options: ChooseEndpointOptions): number {
	const {loads, health, now, random} = options;
	const zonePenalty = availabilityZone === options.availabilityZone ? 0 : otherZonePenalty;
	return (loads.requests(id) / slots) + zonePenalty + (health.failureRate(id, now) * failurePenalty) + (random() * maximumJitter);
}
