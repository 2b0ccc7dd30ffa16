/**
 * Limits the retries of a service, so that they cannot amplify an overload.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type SlackBorrower} from './slack-borrower.ts';
import {SlidingWindowCounter} from './sliding-window-counter.ts';

/** Options of {@linkcode SharedRetryBudget}. */
export type SharedRetryBudgetOptions = {
	/** Maximum ratio of retries to requests, over all gateways. */
	ratio: number;
	/** Length of the window, in milliseconds. */
	windowMilliseconds: number;
	/** Source of retries beyond the ratio. */
	borrower: SlackBorrower;
	readClock: () => ClockReading;
};

/** Decision on a retry and its inputs. */
export type RetryDecision = {
	allowed: boolean;
	/** Lower bound of the requests of this gateway in the window. */
	requests: number;
	/** Upper bound of the retries that the ratio allowed in the window, without this one. */
	retries: number;
	/** Retries that the ratio allows for these requests. */
	limit: number;
	/** Borrowed retries that remain. */
	borrowed: number;
};

/**
 * Share of the ratio that a gateway uses. The requests of one of its windows may be spread over two windows of an outside observer, so only
 * half of the ratio is certain to stay within the limit there.
 */
const usableRatioShare = 0.5;

/** Maximum time for which a retry waits to be borrowed, in milliseconds. */
const borrowTimeoutMilliseconds = 100;

/**
 * Retry budget of one service at one gateway: a share of its own requests, plus retries that it borrows from the slack of the service.
 *
 * Neither part depends on the number of gateways or on what an earlier process of the host did. Without the store, only the share of the
 * gateway's own requests remains.
 *
 * @example
 * ```ts
 * budget.countRequest();
 * const {allowed} = await budget.take();
 * ```
 */
export class SharedRetryBudget {
	readonly #options: SharedRetryBudgetOptions;
	#requests: SlidingWindowCounter;
	readonly #retries: SlidingWindowCounter;
	#countedAt: ClockReading | undefined;
	/** Number of retries that wait to be borrowed. */
	#waiting = 0;

	constructor(options: SharedRetryBudgetOptions) {
		this.#options = options;
		this.#requests = new SlidingWindowCounter(options.windowMilliseconds);
		this.#retries = new SlidingWindowCounter(options.windowMilliseconds);
	}

	/** Counts a request of a caller, which adds to the budget. */
	countRequest(): void {
		this.#requests.add(this.#now().steady);
	}

	/** Takes one retry from the budget if it allows one; waits briefly if the retry has to be borrowed. */
	async take(): Promise<RetryDecision> {
		const {borrower} = this.#options;
		const own = this.#takeFromRatio();
		if (own.allowed || borrower.take(this.#now())) {
			return {...own, allowed: true};
		}

		const allowed = await this.#borrow();
		return {...own, allowed, borrowed: borrower.remaining(this.#now())};
	}

	#takeFromRatio(): RetryDecision {
		const {ratio, borrower} = this.#options;
		const now = this.#now();
		const requests = this.#requests.lowerBound(now.steady);
		const retries = this.#retries.upperBound(now.steady);
		const limit = ratio * usableRatioShare * requests;
		const allowed = retries + 1 <= limit;
		if (allowed) {
			this.#retries.add(now.steady);
		}

		return {
			allowed, requests, retries, limit, borrowed: borrower.remaining(now),
		};
	}

	async #borrow(): Promise<boolean> {
		const {borrower, readClock} = this.#options;
		const until = readClock().steady + borrowTimeoutMilliseconds;
		this.#waiting += 1;
		try {
			while (borrower.mayBorrow(readClock()) && readClock().steady < until) {
				await Promise.race([borrower.borrow(this.#waiting), pause(until - readClock().steady)]);
				if (borrower.take(readClock())) {
					return true;
				}
			}

			return false;
		} finally {
			this.#waiting -= 1;
		}
	}

	/** Reads the clock. Resets the request count after a suspension, since it is unknown which requests are still in the window. */
	#now(): ClockReading {
		const now = this.#options.readClock();
		if (this.#countedAt && !Number.isFinite(ageOf(this.#countedAt, now))) {
			this.#requests = new SlidingWindowCounter(this.#options.windowMilliseconds);
		}

		this.#countedAt = now;
		return now;
	}
}
