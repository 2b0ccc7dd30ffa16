/**
 * The adaptive limit of each endpoint: tokens in progress that keep its time to first token near a target.
 *
 * @module
 */

/** Options of {@linkcode EndpointLimits}. */
export type EndpointLimitsOptions = {
	/** Time to first token above which a limit falls, in milliseconds. Default 1,500. */
	targetMilliseconds?: number;
	/** Returns this router's share of an endpoint, from 0 to 1. Default the whole endpoint. */
	shareOf?: (address: string) => number;
};

/** Factor of a limit after a time to first token above the target. */
const decrease = 0.85;

/** Share of the starting limit by which a limit rises after a time to first token below the target. */
const increase = 0.02;

/** Shortest time between two decreases of one limit, in milliseconds. */
const decreaseMilliseconds = 500;

/** Least factor of the starting limit. */
const smallestFactor = 1 / 64;

/** Greatest limit as a multiple of what one endpoint starts with. */
const greatestMultiple = 4;

type Limit = {factor: number; decreasedAt: number};

/**
 * Raises the limit of an endpoint step by step while it is used and quick, and lowers it by a factor when it is slow.
 *
 * @example
 * ```ts
 * limits.firstToken({address, milliseconds: 900, outstanding, startTokens, now});
 * limits.limitOf(address, startTokens);
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

	/** Returns the tokens that this router may have in progress at an endpoint. */
	limitOf(address: string, startTokens: number): number {
		const limit = startTokens * this.#shareOf(address) * (this.#limits.get(address)?.factor ?? 1);
		return Math.min(limit, startTokens * greatestMultiple);
	}

	/**
	 * Learns from one measured time to first token.
	 *
	 * @param measured The time, and the tokens in progress there when it was measured.
	 */
	firstToken(measured: {address: string; milliseconds: number; outstanding: number; startTokens: number; now: number}): void {
		const {address, milliseconds, outstanding, startTokens, now} = measured;
		const limit = this.#limits.get(address) ?? {factor: 1, decreasedAt: Number.NEGATIVE_INFINITY};
		this.#limits.set(address, limit);
		if (milliseconds > this.#targetMilliseconds) {
			if (now - limit.decreasedAt >= decreaseMilliseconds) {
				limit.decreasedAt = now;
				const inUse = outstanding / (startTokens * this.#shareOf(address));
				limit.factor = Math.max(smallestFactor, Math.min(limit.factor, Math.max(inUse, smallestFactor)) * decrease);
			}

			return;
		}

		if (outstanding >= this.limitOf(address, startTokens) / 2) {
			limit.factor = Math.min(limit.factor + increase, greatestMultiple / this.#shareOf(address));
		}
	}

	/** Forgets endpoints that are no longer listed. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const address of this.#limits.keys()) {
			if (!addresses.has(address)) {
				this.#limits.delete(address);
			}
		}
	}
}
