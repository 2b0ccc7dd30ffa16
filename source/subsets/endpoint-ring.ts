/**
 * The subset of a plain service's endpoints that one gateway uses, so that it has requests enough for each to keep a connection open.
 *
 * Endpoints form a ring. The gateways' starting points are spread evenly over it, and each uses the endpoints that follow its own. So all
 * endpoints are used by about as many gateways, and a gateway or an endpoint that comes or goes moves a subset by one endpoint at the most. A
 * gateway that knows too few or too many others starts elsewhere: that costs evenness, never service.
 *
 * @module
 */
import {hashKey} from '../placement/rendezvous.ts';

/** Endpoints that a gateway uses at least, so that one remains when another fails. */
const minimumEndpoints = 2;

/** Gateways that use each endpoint at least, so that no endpoint depends on the requests of one. */
const minimumGateways = 2;

/** An endpoint of the ring. */
type RingEndpoint = {id: string; address: string};

/**
 * Returns the place of a gateway among the live ones: its index in an order that mixes their zones, and their number.
 *
 * @param self Name of the gateway.
 * @param names Names of the live gateways, this one included.
 */
export function gatewayPlace(self: string, names: readonly string[]): GatewayPlace {
	const own = hashKey(self);
	return {index: names.filter(name => isBefore(hashKey(name), name, own, self)).length, gateways: Math.max(1, names.length)};
}

/** Place of a gateway among the live ones. */
export type GatewayPlace = {index: number; gateways: number};

/** Options of {@linkcode endpointSubset}. */
export type EndpointSubsetOptions<Endpoint> = {
	/** Endpoints that may be used. */
	endpoints: readonly Endpoint[];
	place: GatewayPlace;
	/** Whether an endpoint is sound; others are passed over, so that the subset grows by one for each. */
	isSound: (endpoint: Endpoint) => boolean;
};

/**
 * Returns the endpoints that a gateway uses, in the order of the ring: sound ones up to the subset's size, and the unsound ones between them.
 *
 * @param options Endpoints and the place of the gateway.
 * @example
 * ```ts
 * const subset = endpointSubset({endpoints, place: gatewayPlace('gateway-1', names), isSound: ({id}) => !health.shouldAvoid(id, now)});
 * ```
 */
export function endpointSubset<Endpoint extends RingEndpoint>({endpoints, place: {index, gateways}, isSound}: EndpointSubsetOptions<Endpoint>): Endpoint[] {
	const ring = ringOf(endpoints);
	const size = Math.max(minimumEndpoints, Math.ceil(ring.length * minimumGateways / gateways));
	const start = Math.floor(index * ring.length / gateways);
	const subset: Endpoint[] = [];
	let sound = 0;
	for (let step = 0; step < ring.length && sound < size; step += 1) {
		const endpoint = ring[(start + step) % ring.length]!;
		subset.push(endpoint);
		sound += isSound(endpoint) ? 1 : 0;
	}

	return subset;
}

/** Orders endpoints by their addresses' hashes. */
function ringOf<Endpoint extends RingEndpoint>(endpoints: readonly Endpoint[]): Endpoint[] {
	return endpoints
		.map(endpoint => ({endpoint, hash: hashKey(endpoint.address)}))
		.toSorted((left, right) => isBefore(left.hash, left.endpoint.id, right.hash, right.endpoint.id) ? -1 : 1)
		.map(({endpoint}) => endpoint);
}

function isBefore(leftHash: number, leftName: string, rightHash: number, rightName: string): boolean {
	return leftHash === rightHash ? leftName < rightName : leftHash < rightHash;
}
