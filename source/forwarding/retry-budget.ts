/**
 * Bounds how many requests are sent to a second endpoint, so that retries cannot multiply an overload.
 *
 * @module
 */
import {SlidingCount} from '../retries/mod.ts';

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
	readonly #requests: SlidingCount;
	readonly #retries: SlidingCount;

	constructor(options: SharedRetryBudgetOptions) {
		this.#options = options;
		this.#requests = new SlidingCount(options.windowMilliseconds);
		this.#retries = new SlidingCount(options.windowMilliseconds);
	}

	/** Counts a caller's request. */
	countRequest(now: number): void {
		this.#requests.add(now);
	}

	/**
	 * Takes one retry if the budget has one left.
	 *
	 * @param now Steady time, in milliseconds.
	 * @param routers Routers that share the slack.
	 */
	take(now: number, routers: number): RetryDecision {
		const requests = this.#requests.atLeast(now);
		const retries = this.#retries.atMost(now);
		const limit = ((this.#options.ratio * requests) + (this.#options.slack / Math.max(1, routers))) * usedShare;
		const allowed = retries + 1 <= limit;
		if (allowed) {
			this.#retries.add(now);
		}

		return {
			allowed, requests, retries, limit, routers,
		};
	}
}
