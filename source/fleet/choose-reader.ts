/**
 * Decides which gateways follow the store, and from whom the others learn.
 *
 * Answers the load of hundreds of gateways before one store whose calls are limited and paid for: one gateway in each zone
 * follows it, and the others ask that one.
 *
 * @module
 */
import {hashKey, rendezvousWeight} from '../placement/rendezvous.ts';
import {type Member} from './member.ts';

/**
 * Names the gateway of a zone that follows the store: always the same one while the zone's gateways stay the same.
 *
 * @param members Gateways that live.
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

/** Whether a gateway is the reader of its zone, as far as it knows. */
export function isReader(self: Member, members: readonly Member[]): boolean {
	return readerOf(members, self.availabilityZone)?.name === self.name;
}

/** Options of {@linkcode followsStore}. */
export type FollowsStoreOptions = {
	self: Member;
	/** Gateways that live, this one included. */
	members: readonly Member[];
	/** Whether this gateway has had time to hear of all others, so that it knows whether it is its zone's reader. */
	settled: boolean;
	/** Age of what this gateway knows, in milliseconds. */
	ageMilliseconds: number;
	/** Age above which a gateway asks the store itself, in milliseconds. */
	readerIsLateMilliseconds: number;
};

/**
 * Whether a gateway follows the store itself: it is its zone's reader, or it has not heard enough from others.
 *
 * @param options Gateways and age.
 */
export function followsStore({self, members, settled, ageMilliseconds, readerIsLateMilliseconds}: FollowsStoreOptions): boolean {
	return ageMilliseconds > readerIsLateMilliseconds || (settled && isReader(self, members));
}

/** Options of {@linkcode chooseSources}. */
export type ChooseSourcesOptions = {
	self: Member;
	/** Gateways that live, this one included. */
	members: readonly Member[];
	random: () => number;
};

/** Gateways that are asked at most for one piece of news. */
const mostSources = 3;

/**
 * Chooses the gateways to learn from, to be asked one after the other until one of them knows enough: the reader of the own zone, those
 * of other zones in any order, then any others that are ready.
 *
 * Answers a store that refuses some gateways, readers among them: asking a second reader costs less than asking the store, and many
 * gateways that lose their reader at once must not all turn to the store.
 *
 * @param options Gateways.
 */
export function chooseSources({self, members, random}: ChooseSourcesOptions): Member[] {
	const others = members.filter(({ready, name}) => ready && name !== self.name);
	const zones = new Set(others.map(({availabilityZone}) => availabilityZone));
	const readers = [...zones].flatMap(zone => readerOf(members, zone) ?? []).filter(({name}) => name !== self.name);
	const near = readers.filter(({availabilityZone}) => availabilityZone === self.availabilityZone);
	const far = readers.filter(({availabilityZone}) => availabilityZone !== self.availabilityZone);
	const rest = others.filter(member => !readers.includes(member));
	return [...near, ...shuffle(far, random), ...shuffle(rest, random)].slice(0, mostSources);
}

function shuffle(members: readonly Member[], random: () => number): Member[] {
	const left = [...members];
	const drawn: Member[] = [];
	while (left.length > 0 && drawn.length < mostSources) {
		drawn.push(...left.splice(Math.floor(random() * left.length), 1));
	}

	return drawn;
}
