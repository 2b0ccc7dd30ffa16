/**
 * Bounds the extra load of retries and hedges to a share of first attempts.
 *
 * @module
 */

/** Options of {@linkcode RetryBudget}. */
export type RetryBudgetOptions = {
	/** Extra attempts that each first attempt allows. Default 0.2. */
	share?: number;
	/** Extra attempts that a service may save up. Default 10. */
	largestBalance?: number;
};

/**
 * Keeps a balance of extra attempts for each service.
 *
 * @example
 * ```ts
 * budget.firstAttempt('orders');
 * if (budget.take('orders')) {
 * 	// Send a second time.
 * }
 * ```
 */
export class RetryBudget {
	readonly #share: number;
	readonly #largestBalance: number;
	readonly #balances = new Map<string, number>();

	constructor(options: RetryBudgetOptions = {}) {
		this.#share = options.share ?? 0.2;
		this.#largestBalance = options.largestBalance ?? 10;
	}

	/** Counts a first attempt. */
	firstAttempt(service: string): void {
		this.#balances.set(service, Math.min(this.#largestBalance, this.#balance(service) + this.#share));
	}

	/** Takes one extra attempt; returns whether the balance allowed it. */
	take(service: string): boolean {
		const balance = this.#balance(service);
		if (balance < 1) {
			return false;
		}

		this.#balances.set(service, balance - 1);
		return true;
	}

	#balance(service: string): number {
		return this.#balances.get(service) ?? this.#largestBalance;
	}
}
