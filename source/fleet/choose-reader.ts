/**
 * Decides which gateways follow the store, and from which gateways the others fetch updates.
 *
 * Limits the load of hundreds of gateways on one store whose calls are rate-limited and billed: one gateway in each zone follows the
 * store, and the others query that gateway.
 *
 * @module
 */
import {hashKey, rendezvousWeight} from '../placement/rendezvous.ts';
import {type Member} from './member.ts';

/**
 * Returns the gateway of a zone that follows the store, its reader; the result changes only when the zone's ready gateways do.
 *
 * @param members Live gateways.
 * @param availabilityZone The zone.
 */
export function readerOf(members: readonly Member[], availabilityZone: string): Member | undefined {
	const key = hashKey(availabilityZone);
	let reader: Member | undefined;
	let highest = -1;
	for (const member of members) {
		if (!member.ready || member.availabilityZone !== availabilityZone) {
			continue;
		}

		const weight = rendezvousWeight(key, member.name);
		if (weight > highest) {
			reader = member;
			highest = weight;
		}
	}

	return reader;
}

/** Returns whether a gateway is the reader of its zone, according to its own member table. */
export function isReader(self: Member, members: readonly Member[]): boolean {
	return readerOf(members, self.availabilityZone)?.name === self.name;
}

/** Options of {@linkcode followsStore}. */
export type FollowsStoreOptions = {
	self: Member;
	/** Live gateways, this one included. */
	members: readonly Member[];
	/** Whether this gateway has had time to discover all others, so that it can tell whether it is its zone's reader. */
	membershipSettled: boolean;
	/** Age of this gateway's cached state, in milliseconds. */
	ageMilliseconds: number;
	/** Age above which a gateway reads from the store itself, in milliseconds. */
	storeFallbackMilliseconds: number;
};

/**
 * Returns whether a gateway follows the store itself: it is its zone's reader, or the updates of other gateways are too old.
 *
 * @param options Live gateways and age of the cached state.
 */
export function followsStore({self, members, membershipSettled, ageMilliseconds, storeFallbackMilliseconds}: FollowsStoreOptions): boolean {
	return ageMilliseconds > storeFallbackMilliseconds || (membershipSettled && isReader(self, members));
}

/** Options of {@linkcode chooseSources}. */
export type ChooseSourcesOptions = {
	self: Member;
	/** Live gateways, this one included. */
	members: readonly Member[];
	random: () => number;
};

/** Maximum number of gateways that are queried for one update. */
const maximumSources = 3;

/**
 * Chooses the gateways to query one after the other until one of them has recent enough state: the reader of the own zone, the readers
 * of other zones in random order, then any other ready gateways.
 *
 * This matters when the store rejects some gateways, possibly readers: querying a second reader costs less than a call to the store, and
 * many gateways that lose their reader at once must not all fall back to the store.
 *
 * @param options This gateway and the live gateways.
 */
export function chooseSources({self, members, random}: ChooseSourcesOptions): Member[] {
	const others = members.filter(({ready, name}) => ready && name !== self.name);
	const zones = new Set(others.map(({availabilityZone}) => availabilityZone));
	const readers = [...zones].flatMap(zone => readerOf(members, zone) ?? []).filter(({name}) => name !== self.name);
	const near = readers.filter(({availabilityZone}) => availabilityZone === self.availabilityZone);
	const far = readers.filter(({availabilityZone}) => availabilityZone !== self.availabilityZone);
	const rest = others.filter(member => !readers.includes(member));
	return [...near, ...shuffle(far, random), ...shuffle(rest, random)].slice(0, maximumSources);
}

function shuffle(members: readonly Member[], random: () => number): Member[] {
	const remaining = [...members];
	const drawn: Member[] = [];
	while (remaining.length > 0 && drawn.length < maximumSources) {
		drawn.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
	}

	return drawn;
}
