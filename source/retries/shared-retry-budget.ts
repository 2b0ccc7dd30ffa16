/**
 * Bounds how many requests of a service are sent once more, so that retries cannot multiply an overload.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type SlackBorrower} from './slack-borrower.ts';
import {SlidingCount} from './sliding-count.ts';

/** Options of {@linkcode SharedRetryBudget}. */
export type SharedRetryBudgetOptions = {
	/** Retries that all gateways together may make for each request. */
	ratio: number;
	/** Length of the window, in milliseconds. */
	windowMilliseconds: number;
	/** Lends retries beyond that. */
	borrower: SlackBorrower;
	readClock: () => ClockReading;
};

/** What a decision on a retry was made from. */
export type RetryDecision = {
	allowed: boolean;
	/** Requests that this gateway counted in the window. */
	requests: number;
	/** Retries for them in the window, before this one. */
	retries: number;
	/** Retries that these requests allow. */
	limit: number;
	/** Retries that were borrowed and are left. */
	borrowed: number;
};

/**
 * Share of the ratio that is used. The requests of a gateway's last window may lie in two windows of whoever counts them elsewhere, so
 * half of the ratio is certainly allowed there.
 */
const usedShare = 0.5;

/** Longest time for which a retry waits to be lent, in milliseconds. */
const borrowMilliseconds = 100;

/**
 * A gateway's part of the retry budget of one service: a share of its own requests, and what it borrows.
 *
 * Neither depends on how many other gateways there are, or on what an earlier process of the host did: without the store only the
 * share of the requests is left.
 *
 * @example
 * ```ts
 * budget.countRequest();
 * const {allowed} = await budget.take();
 * ```
 */
export class SharedRetryBudget {
	readonly #options: SharedRetryBudgetOptions;
	#requests: SlidingCount;
	readonly #retries: SlidingCount;
	#countedAt: ClockReading | undefined;
	/** Retries that wait to be lent. */
	#waiting = 0;

	constructor(options: SharedRetryBudgetOptions) {
		this.#options = options;
		this.#requests = new SlidingCount(options.windowMilliseconds);
		this.#retries = new SlidingCount(options.windowMilliseconds);
	}

	/** Counts a caller's request. */
	countRequest(): void {
		this.#requests.add(this.#now().steady);
	}

	/** Takes one retry if there is one; waits for a moment where it has to be borrowed. */
	async take(): Promise<RetryDecision> {
		const {borrower} = this.#options;
		const own = this.#takeOwn();
		if (own.allowed || borrower.take(this.#now())) {
			return {...own, allowed: true};
		}

		const allowed = await this.#borrow();
		return {...own, allowed, borrowed: borrower.left(this.#now())};
	}

	#takeOwn(): RetryDecision {
		const {ratio, borrower} = this.#options;
		const now = this.#now();
		const requests = this.#requests.atLeast(now.steady);
		const retries = this.#retries.atMost(now.steady);
		const limit = ratio * usedShare * requests;
		const allowed = retries + 1 <= limit;
		if (allowed) {
			this.#retries.add(now.steady);
		}

		return {
			allowed, requests, retries, limit, borrowed: borrower.left(now),
		};
	}

	async #borrow(): Promise<boolean> {
		const {borrower, readClock} = this.#options;
		const until = readClock().steady + borrowMilliseconds;
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

	/** Reads the clock; after a suspension it is not known which requests still lie in the window. */
	#now(): ClockReading {
		const now = this.#options.readClock();
		if (this.#countedAt && !Number.isFinite(ageOf(this.#countedAt, now))) {
			this.#requests = new SlidingCount(this.#options.windowMilliseconds);
		}

		this.#countedAt = now;
		return now;
	}
}
