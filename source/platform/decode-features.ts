/**
 * Decodes which parts of the gateway the platform's settings ask for.
 *
 * @module
 */
import {type Features} from '../settings/features.ts';

const contractOf: Record<keyof Features, string> = {
	earlyCallers: 'pool', cachedReturns: 'pool', engineSubsets: 'pool', engineQueues: 'pool', memoryBounds: 'pressure', rollouts: 'rollout',
};

/**
 * Returns the parts that the contracts of a deployment ask for; contracts that name no such part are ignored.
 *
 * @param contracts Names of the contracts in force.
 */
export function decodeFeatures(contracts: readonly string[]): Features {
	const isInForce = (feature: keyof Features): boolean => contracts.includes(contractOf[feature]);
	return {
		earlyCallers: isInForce('earlyCallers'),
		cachedReturns: isInForce('cachedReturns'),
		engineSubsets: isInForce('engineSubsets'),
		engineQueues: isInForce('engineQueues'),
		memoryBounds: isInForce('memoryBounds'),
		rollouts: isInForce('rollouts'),
	};
}
