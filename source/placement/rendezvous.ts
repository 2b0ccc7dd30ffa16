/**
 * Rendezvous hashing: each key has its own stable order of the members.
 *
 * @module
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Returns the weight of a member for a key; the member with the highest weight owns the key.
 *
 * @param key The key, hashed by {@linkcode hashKey}.
 * @param member Name of the member.
 * @example
 * ```ts
 * const weight = rendezvousWeight(hashKey('router-1'), '10.0.0.1:9000');
 * ```
 */
export function rendezvousWeight(key: number, member: string): number {
	return h32(member, key);
}

/**
 * Hashes a key once for many members.
 *
 * @param key The key.
 */
export function hashKey(key: string): number {
	return h32(key);
}

/**
 * Returns the members with the highest weights for a key; the result changes little when members are added or removed.
 *
 * @param members All members.
 * @param key Key whose weights order the members.
 * @param count Maximum number of members to return.
 * @example
 * ```ts
 * const subset = highestWeightMembers(endpoints, 'router-1', 48);
 * ```
 */
export function highestWeightMembers<Member extends {address: string}>(members: readonly Member[], key: string, count: number): readonly Member[] {
	if (members.length <= count) {
		return members;
	}

	const hashed = hashKey(key);
	return members
		.map(member => ({member, weight: rendezvousWeight(hashed, member.address)}))
		.toSorted((left, right) => right.weight - left.weight)
		.slice(0, count)
		.map(({member}) => member);
}
