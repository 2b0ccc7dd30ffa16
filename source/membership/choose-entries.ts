/**
 * Which entries a caller is told to use.
 *
 * @module
 */
import {type Host} from '../table-service/mod.ts';

/** Options of {@linkcode chooseEntries}. */
export type ChooseEntriesOptions = {
	/** Entry hosts that are not leaving. */
	hosts: readonly Host[];
	/** Zone whose entries come first. */
	availabilityZone: string;
	/** Region whose entries come before those of other regions. */
	region: string;
	/** Returns a random number from 0 to 1; it spreads the callers over the entries. */
	random: () => number;
	/** Number of entries in an answer. Default 8. */
	limit?: number;
};

/** Share of an answer that is kept for other zones, so that a caller outlives the loss of its zone. */
const otherZonesShare = 1 / 4;

/**
 * Chooses a bounded number of entries in random order: own zone first, then others of the region, then other regions.
 *
 * @param options Hosts, own place and random source.
 * @example
 * ```ts
 * const entries = chooseEntries({hosts, availabilityZone: 'zone-a', region: 'home', random: Math.random});
 * ```
 */
export function chooseEntries(options: ChooseEntriesOptions): Host[] {
	const {hosts, availabilityZone, region, random, limit = 8} = options;
	const shuffled = hosts.map(host => ({host, order: random()})).toSorted((left, right) => left.order - right.order).map(({host}) => host);
	const own = shuffled.filter(host => host.availabilityZone === availabilityZone);
	const others = shuffled.filter(host => host.availabilityZone !== availabilityZone)
		.toSorted((left, right) => Number(right.region === region) - Number(left.region === region));
	const keptForOthers = Math.min(others.length, Math.ceil(limit * otherZonesShare));
	const near = own.slice(0, limit - keptForOthers);
	return [...near, ...others.slice(0, limit - near.length)];
}
