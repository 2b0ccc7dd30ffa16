/**
 * Parts of the gateway that only some deployments ask for.
 *
 * @module
 */

/** Parts that a deployment's settings switch on; each is off unless its settings ask for it. */
export type Features = {
	/** A gateway listens for callers from the start of its process, and holds requests until it has its initial state. */
	earlyCallers: boolean;
	/** A generation that its caller resumes goes to an engine that keeps its prompt, if the engine's load allows. */
	cachedReturns: boolean;
	/** Gateways use a stable subset of each service's engines, and reuse their connections. */
	engineSubsets: boolean;
	/** A generation stays at an engine that works through the requests before it. */
	engineQueues: boolean;
	/** The bytes that a gateway holds for callers and endpoints are bounded, for each endpoint too. */
	memoryBounds: boolean;
	/** Gateways move a service's traffic to a new version when the operator orders it. */
	rollouts: boolean;
};

/** All parts switched off. */
export const noFeatures: Features = {
	earlyCallers: false, cachedReturns: false, engineSubsets: false, engineQueues: false, memoryBounds: false, rollouts: false,
};
