/**
 * Selects the gateways whose addresses are given to callers.
 *
 * @module
 */
import {type Member} from './member.ts';

/** Options of {@linkcode listGateways}. */
export type ListGatewaysOptions = {
	/** Live gateways. */
	members: readonly Member[];
	/** Zone and region of the caller. */
	availabilityZone: string;
	region: string;
	/** Maximum number of addresses. */
	count: number;
	random: () => number;
};

/** Largest share of the addresses that is filled first with gateways of the caller's own zone. */
const ownZoneShare = 0.5;

/**
 * Lists the gateways that accept requests: some of the caller's zone first, then the others of its region, then the rest, each group in
 * random order, so that the load spreads and callers still have gateways left when a zone fails. If no gateway accepts requests, all are
 * listed.
 *
 * @param options Live gateways and the caller's location.
 * @returns Addresses that serve callers.
 */
export function listGateways({members, availabilityZone, region, count, random}: ListGatewaysOptions): string[] {
	const ready = members.filter(member => member.ready);
	const from = ready.length > 0 ? ready : members;
	const shuffled = from
		.map(member => ({member, order: random()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({member}) => member);
	const near = shuffled.filter(member => member.availabilityZone === availabilityZone).slice(0, Math.ceil(count * ownZoneShare));
	const rest = shuffled.filter(member => !near.includes(member));
	const sameRegion = rest.filter(member => member.region === region);
	const elsewhere = rest.filter(member => member.region !== region);
	return [...near, ...sameRegion, ...elsewhere].slice(0, count).map(({callers}) => callers);
}
