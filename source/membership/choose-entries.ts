/**
 * Selects the entry hosts that are returned to a caller.
 *
 * @module
 */
import {type Host} from '../table-service/mod.ts';

/** Options of {@linkcode chooseEntries}. */
export type ChooseEntriesOptions = {
	/** Entry hosts that are not leaving. */
	hosts: readonly Host[];
	/** Zone whose entries are listed first. */
	availabilityZone: string;
	/** Region whose entries are listed before those of other regions. */
	region: string;
	/** Returns a random number from 0 to 1, used to spread callers over the entries. */
	random: () => number;
	/** Maximum number of entries to return. Default 8. */
	limit?: number;
};

/** Share of the entries reserved for other zones, so that a caller still has entries if its own zone fails. */
const otherZonesShare = 1 / 4;

/**
 * Chooses a bounded number of entries in random order: first those of the own zone, then the rest of the region, then other regions.
 *
 * @param options Hosts, own zone and region, and random source.
 * @returns The chosen hosts, in order of preference.
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
