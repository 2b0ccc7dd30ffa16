/**
 * Bounds how many requests are sent to a second endpoint, so that retries cannot multiply an overload.
 *
 * @module
 */

/** Options of {@linkcode SharedRetryBudget}. */
export type SharedRetryBudgetOptions = {
	/** Retries allowed for each request. */
	ratio: number;
	/** Retries allowed beyond that in one window, by all routers together. */
	slack: number;
	/** Length of the window, in milliseconds. */
	windowMilliseconds: number;
};

/** Share of the budget that is used; the rest covers routers that this one does not know of. */
const usedShare = 0.7;

/** Parts into which the window is divided. */
const windowParts = 10;

/** What a decision on a retry was made from. */
export type RetryDecision = {
	allowed: boolean;
	/** Requests counted in the window. */
	requests: number;
	/** Retries taken in the window before this one. */
	retries: number;
	/** Retries that this router allows itself in the window. */
	limit: number;
	/** Routers among which the slack was divided. */
	routers: number;
};

/**
 * This router's part of the budget of one service, over a sliding window.
 *
 * @example
 * ```ts
 * budget.countRequest(now);
 * if (budget.take(now, routers).allowed) retry();
 * ```
 */
export class SharedRetryBudget {
	readonly #options: SharedRetryBudgetOptions;
	#parts: Array<{index: number; requests: number; retries: number}> = [];

	constructor(options: SharedRetryBudgetOptions) {
		this.#options = options;
	}

	/** Counts a caller's request. */
	countRequest(now: number): void {
		this.#part(now).requests += 1;
	}

	/**
	 * Takes one retry if the budget has one left.
	 *
	 * @param now Steady time, in milliseconds.
	 * @param routers Routers that share the slack.
	 */
	take(now: number, routers: number): RetryDecision {
		const part = this.#part(now);
		const requests = this.#parts.reduce((sum, each) => sum + each.requests, 0);
		const retries = this.#parts.reduce((sum, each) => sum + each.retries, 0);
		const limit = ((this.#options.ratio * requests) + (this.#options.slack / Math.max(1, routers))) * usedShare;
		const allowed = retries + 1 <= limit;
		if (allowed) {
			part.retries += 1;
		}

		return {
			allowed, requests, retries, limit, routers,
		};
	}

	#part(now: number): {index: number; requests: number; retries: number} {
		const index = Math.floor(now / (this.#options.windowMilliseconds / windowParts));
		this.#parts = this.#parts.filter(part => part.index > index - windowParts);
		let part = this.#parts.at(-1);
		if (part?.index !== index) {
			part = {index, requests: 0, retries: 0};
			this.#parts.push(part);
		}

		return part;
	}
}
