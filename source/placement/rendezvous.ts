/**
 * Rendezvous hashing: each key orders the members in its own stable way.
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
 * @param key Any text.
 */
export function hashKey(key: string): number {
	return h32(key);
}

/**
 * Returns the members with the highest weights, which change little when members come and go.
 *
 * @param members All members.
 * @param key Key that orders them.
 * @param count Members to keep at most.
 * @example
 * ```ts
 * const subset = highestMembers(endpoints, 'router-1', 48);
 * ```
 */
export function highestMembers<Member extends {address: string}>(members: readonly Member[], key: string, count: number): readonly Member[] {
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
