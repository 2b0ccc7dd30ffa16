/**
 * Adaptive limits of the tokens in progress at each endpoint, which keep its time to first token near a target.
 *
 * @module
 */

/** Options of {@linkcode EndpointLimits}. */
export type EndpointLimitsOptions = {
	/** Target of the time to first token, in milliseconds; a limit decreases when it is exceeded. Default 1,500. */
	targetMilliseconds?: number;
	/** Returns this router's share of an endpoint, from 0 to 1. Default 1. */
	shareOf?: (address: string) => number;
};

/** Multiplicative decrease of a limit after a time to first token above the target. */
const decreaseFactor = 0.85;

/** Additive increase of a limit after a time to first token below the target, as a fraction of the initial limit. */
const increaseStep = 0.02;

/** Minimum time between two decreases of one limit, in milliseconds. */
const decreaseIntervalMilliseconds = 500;

/** Minimum of a limit, as a fraction of the initial limit. */
const minimumFactor = 1 / 64;

/** Maximum of a limit, as a multiple of the initial limit of a whole endpoint. */
const maximumMultiple = 4;

type Limit = {factor: number; decreasedAt: number};

/**
 * Adjusts limits by additive increase and multiplicative decrease: a limit rises while it is used and the endpoint meets the target.
 *
 * @example
 * ```ts
 * limits.recordFirstToken({address, milliseconds: 900, outstanding, initialLimit, now});
 * limits.limitOf(address, initialLimit);
 * ```
 */
export class EndpointLimits {
	readonly #targetMilliseconds: number;
	readonly #shareOf: (address: string) => number;
	readonly #limits = new Map<string, Limit>();

	constructor(options: EndpointLimitsOptions = {}) {
		this.#targetMilliseconds = options.targetMilliseconds ?? 1500;
		this.#shareOf = options.shareOf ?? (() => 1);
	}

	/** Returns the maximum number of tokens that this router may have in progress at an endpoint, given the initial limit of the whole endpoint. */
	limitOf(address: string, initialLimit: number): number {
		const limit = initialLimit * this.#shareOf(address) * (this.#limits.get(address)?.factor ?? 1);
		return Math.min(limit, initialLimit * maximumMultiple);
	}

	/**
	 * Adjusts a limit by a measured time to first token.
	 *
	 * @param measurement Time to first token, and tokens in progress at the endpoint when it was measured.
	 */
	recordFirstToken(measurement: {address: string; milliseconds: number; outstanding: number; initialLimit: number; now: number}): void {
		const {address, milliseconds, outstanding, initialLimit, now} = measurement;
		const limit = this.#limits.get(address) ?? {factor: 1, decreasedAt: Number.NEGATIVE_INFINITY};
		this.#limits.set(address, limit);
		if (milliseconds > this.#targetMilliseconds) {
			if (now - limit.decreasedAt >= decreaseIntervalMilliseconds) {
				limit.decreasedAt = now;
				const inUse = outstanding / (initialLimit * this.#shareOf(address));
				limit.factor = Math.max(minimumFactor, Math.min(limit.factor, Math.max(inUse, minimumFactor)) * decreaseFactor);
			}

			return;
		}

		if (outstanding >= this.limitOf(address, initialLimit) / 2) {
			limit.factor = Math.min(limit.factor + increaseStep, maximumMultiple / this.#shareOf(address));
		}
	}

	/** Removes the limits of endpoints that are no longer listed. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const address of this.#limits.keys()) {
			if (!addresses.has(address)) {
				this.#limits.delete(address);
			}
		}
	}
}
