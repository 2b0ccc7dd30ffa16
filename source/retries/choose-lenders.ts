/**
 * Chooses the gateways that a gateway asks for retries.
 *
 * @module
 */

import {hashKey, rendezvousWeight} from '../placement/rendezvous.ts';

/** A gateway that may lend retries. */
export type Lender = {
	name: string;
	/** IP address and port for other gateways. */
	peers: string;
	ready: boolean;
};

/** Number of gateways among which the choice is random; connections to them stay open. */
const preferredGateways = 12;

/** Options of {@linkcode chooseLenders}. */
export type ChooseLendersOptions = {
	/** Name of this gateway. */
	self: string;
	/** Live gateways without this one. */
	gateways: readonly Lender[];
	/** Steady time until which gateways are not asked since they lent nothing or did not reply, by name, in milliseconds. */
	avoidedUntil: ReadonlyMap<string, number>;
	/** Maximum number of gateways. */
	count: number;
	/** Steady time, in milliseconds. */
	now: number;
	random: () => number;
};

/**
 * Chooses gateways that take requests, since only these have unused retries. Each gateway has its own stable order of the others and chooses
 * at random among those of the first ones that are not avoided, so that it rarely opens connections and questions of many gateways are spread.
 *
 * Load: many gateways lose an endpoint at the same moment and ask for retries.
 *
 * @param options Live gateways, and those that are avoided.
 * @returns Different gateways.
 */
export function chooseLenders({
	self, gateways, avoidedUntil, count, now, random,
}: ChooseLendersOptions): Lender[] {
	const key = hashKey(self);
	const preferred = gateways
		.filter(({ready}) => ready)
		.map(lender => ({lender, weight: rendezvousWeight(key, lender.name)}))
		.toSorted((left, right) => right.weight - left.weight)
		.slice(0, preferredGateways)
		.filter(({lender: {name}}) => now >= (avoidedUntil.get(name) ?? Number.NEGATIVE_INFINITY));
	const chosen: Lender[] = [];
	while (preferred.length > 0 && chosen.length < count) {
		chosen.push(...preferred.splice(Math.floor(random() * preferred.length), 1).map(({lender}) => lender));
	}

	return chosen;
}
