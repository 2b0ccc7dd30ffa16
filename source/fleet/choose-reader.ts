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

/** Options of {@linkcode followsStore}. */
export type FollowsStoreOptions = {
	self: Member;
	/** Gateways that live, this one included. */
	members: readonly Member[];
	/** Age of what this gateway knows, in milliseconds. */
	ageMilliseconds: number;
	/** Age above which a gateway asks the store itself, in milliseconds. */
	readerIsLateMilliseconds: number;
};

/**
 * Whether a gateway follows the store itself: it is its zone's reader, or it has not heard enough from the reader.
 *
 * @param options Gateways and age.
 */
export function followsStore({self, members, ageMilliseconds, readerIsLateMilliseconds}: FollowsStoreOptions): boolean {
	return ageMilliseconds > readerIsLateMilliseconds || readerOf(members, self.availabilityZone)?.name === self.name;
}

/** Options of {@linkcode chooseSource}. */
export type ChooseSourceOptions = {
	self: Member;
	/** Gateways that live, this one included. */
	members: readonly Member[];
	/** Whether the reader of the own zone has fallen behind. */
	readerIsLate: boolean;
	random: () => number;
};

/**
 * Chooses the gateway to learn from: the reader of the own zone, or of another one while that has fallen behind.
 *
 * @param options Gateways.
 * @returns The gateway; `undefined` where this one follows the store and has not fallen behind, or there is no other.
 */
export function chooseSource({self, members, readerIsLate, random}: ChooseSourceOptions): Member | undefined {
	const reader = readerOf(members, self.availabilityZone);
	if (!readerIsLate) {
		return reader?.name === self.name ? undefined : reader;
	}

	const others = members.filter(member => member.ready && member.name !== self.name && member.name !== reader?.name);
	const elsewhere = others.filter(member => readerOf(members, member.availabilityZone)?.name === member.name);
	const from = elsewhere.length > 0 ? elsewhere : others;
	return from[Math.floor(random() * from.length)];
}
