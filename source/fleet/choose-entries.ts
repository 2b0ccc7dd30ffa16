/**
 * Decides which gateways callers are told to use.
 *
 * @module
 */
import {type Member} from './member.ts';

/** Options of {@linkcode listEntries}. */
export type ListEntriesOptions = {
	/** Gateways that live. */
	members: readonly Member[];
	/** Zone and region of the caller. */
	availabilityZone: string;
	region: string;
	/** Addresses to name at most. */
	count: number;
	random: () => number;
};

/** Gateways named of the caller's own zone at most, where others must be named too. */
const ownZoneShare = 0.5;

/**
 * Lists the gateways that take requests: some of the caller's zone first, then others in random order, so that callers spread
 * and still have some left when a zone is lost. Where none says that it takes requests, all are named.
 *
 * @param options Gateways and caller.
 * @returns Addresses for callers.
 */
export function listEntries({members, availabilityZone, region, count, random}: ListEntriesOptions): string[] {
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
