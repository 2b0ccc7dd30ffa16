/**
 * Limits the retries of a service, so that they cannot amplify an overload.
 *
 * @module
 */
import {isContinuous, type ClockReading} from '../clocks/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type PeerBorrower} from './peer-borrower.ts';
import {creditsPerRetry, RetryCredits} from './retry-credits.ts';
import {maximumPeerLoan, peerLoanMilliseconds} from './retry-loan-message.ts';
import {RetryQueue, type RetryRequest} from './retry-queue.ts';
import {type SlackBorrower} from './slack-borrower.ts';
import {SlidingWindowCounter} from './sliding-window-counter.ts';

/** Options of {@linkcode SharedRetryBudget}. */
export type SharedRetryBudgetOptions = {
	/** Maximum ratio of retries to requests, over all gateways. */
	ratio: number;
	/** Length of the window, in milliseconds. */
	windowMilliseconds: number;
	/** Source of retries beyond the ratio. */
	borrower: Pick<SlackBorrower, 'remaining' | 'take' | 'mayBorrow' | 'borrow'>;
	/** Source of retries that other gateways do not use; absent if there are none. */
	peers?: PeerBorrower;
	readClock: () => ClockReading;
};

/** Decision on a retry and its inputs. */
export type RetryDecision = {
	allowed: boolean;
	/** Lower bound of the requests of this gateway in the window. */
	requests: number;
	/** Upper bound of the retries that were allowed in the window, without this one. */
	retries: number;
	/** Retries that the ratio still allows for these requests, less what was lent to other gateways. */
	limit: number;
	/** Retries that remain of the loan from the slack. */
	borrowed: number;
	/** Retries that remain of the loans of other gateways. */
	borrowedFromGateways: number;
};

/** Options of {@linkcode SharedRetryBudget.take}. */
export type TakeOptions = Partial<RetryRequest>;

/**
 * Share of the ratio that a gateway uses. A retry uses credits of requests that are at most a window old, so that those of one window of an
 * outside observer may lie in two of its windows, and only half of the ratio is certain to stay within the limit there.
 */
const usableRatioShare = 0.5;

/** Maximum time for which a retry waits for the store, in milliseconds. */
const storeTimeoutMilliseconds = 100;

/**
 * Retry budget of one service at one gateway: a share of its own requests, retries that it borrows from the slack of the service, and unused
 * shares that other gateways lend.
 *
 * None depends on the number of gateways or on what an earlier process of the host did. Each request adds credits once, to the gateway that
 * received it, and each credit is used once and within a window, by that gateway or by the one that it was lent to. A lost message loses credits.
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
	readonly #credits: RetryCredits;
	readonly #queue: RetryQueue;
	#countedAt: ClockReading | undefined;
	/** The request to the store in progress, and its steady start time in milliseconds. */
	#storeRequest: {startedAt: number; end: Promise<void>} | undefined;

	constructor(options: SharedRetryBudgetOptions) {
		this.#options = options;
		this.#requests = new SlidingWindowCounter(options.windowMilliseconds);
		this.#retries = new SlidingWindowCounter(options.windowMilliseconds);
		this.#credits = new RetryCredits(options.windowMilliseconds);
		this.#queue = new RetryQueue({
			takeHeld: now => this.#takeHeld(now), borrow: async waiting => this.#borrow(waiting), readClock: () => this.#now(),
		});
	}

	/** Counts a request of a caller, which adds to the budget. */
	countRequest(): void {
		const {steady} = this.#now();
		this.#requests.add(steady);
		this.#credits.add(Math.floor(this.#options.ratio * usableRatioShare * creditsPerRetry), steady);
	}

	/**
	 * Takes one retry from the budget if it allows one; waits if the retry has to be borrowed.
	 *
	 * @param options What decides which of several waiting retries is served first. Default: one that is refused as soon as nothing can be borrowed.
	 */
	async take({
		hasBegun = false, importance = 0, deadline = Number.POSITIVE_INFINITY, waits = false, signal,
	}: TakeOptions = {}): Promise<RetryDecision> {
		const inputs = this.#inputs();
		const allowed = (this.#queue.length === 0 && this.#takeHeld(this.#now())) || await this.#queue.wait({
			hasBegun, importance, deadline, waits, signal,
		});
		return {...inputs, allowed};
	}

	/**
	 * Lends unused credits of this gateway's own requests to another gateway; none while retries wait here.
	 *
	 * @param wanted Maximum number of credits.
	 * @returns Number of credits lent, which only the other gateway may use from now on.
	 */
	lend(wanted: number): number {
		const now = this.#now();
		return this.#queue.length > 0 ? 0 : this.#credits.take(Math.min(wanted, maximumPeerLoan), now.steady, peerLoanMilliseconds);
	}

	#inputs(): Omit<RetryDecision, 'allowed'> {
		const {borrower, peers} = this.#options;
		const now = this.#now();
		return {
			requests: this.#requests.lowerBound(now.steady),
			retries: this.#retries.upperBound(now.steady),
			limit: this.#credits.available(now.steady) / creditsPerRetry,
			borrowed: borrower.remaining(now),
			borrowedFromGateways: (peers?.loans.available(now) ?? 0) / creditsPerRetry,
		};
	}

	/** Takes one retry from what this gateway holds: its own credits, those of other gateways first where its own do not suffice, or the loan from the slack. */
	#takeHeld(now: ClockReading): boolean {
		const isTaken = this.#takeCredits(now) || this.#options.borrower.take(now);
		if (isTaken) {
			this.#retries.add(now.steady);
		}

		return isTaken;
	}

	#takeCredits(now: ClockReading): boolean {
		const own = this.#credits.available(now.steady);
		const borrowed = this.#options.peers?.loans.available(now) ?? 0;
		if (own + borrowed < creditsPerRetry) {
			return false;
		}

		const taken = this.#options.peers?.loans.take(creditsPerRetry, now) ?? 0;
		this.#credits.take(creditsPerRetry - taken, now.steady);
		return true;
	}

	/** Borrows from the slack, and from other gateways if nothing of it is lent in time; returns whether anything was lent. */
	async #borrow(waiting: number): Promise<boolean> {
		await this.#borrowSlack(waiting);
		const now = this.#now();
		if (this.#options.borrower.remaining(now) > 0) {
			return true;
		}

		const missing = (waiting * creditsPerRetry) - this.#credits.available(now.steady) - (this.#options.peers?.loans.available(now) ?? 0);
		const lent = await this.#options.peers?.borrow(Math.max(1, missing));
		return lent !== undefined && lent > 0;
	}

	/** Waits for the store as long as its reply may come in time. */
	async #borrowSlack(waiting: number): Promise<void> {
		const {borrower} = this.#options;
		const now = this.#now();
		if (!this.#storeRequest && borrower.mayBorrow(now)) {
			const end = borrower.borrow(waiting).finally(() => {
				this.#storeRequest = undefined;
			});
			this.#storeRequest = {startedAt: now.steady, end};
		}

		if (this.#storeRequest) {
			const remainingMilliseconds = this.#storeRequest.startedAt + storeTimeoutMilliseconds - now.steady;
			await (remainingMilliseconds > 0 && Promise.race([this.#storeRequest.end, pause(remainingMilliseconds)]));
		}
	}

	/** Reads the clock. Resets the requests after a suspension or a step of the wall clock, since it is unknown which of them are still in the window. */
	#now(): ClockReading {
		const now = this.#options.readClock();
		if (this.#countedAt && !isContinuous(this.#countedAt, now)) {
			this.#requests = new SlidingWindowCounter(this.#options.windowMilliseconds);
			this.#credits.clear();
		}

		this.#countedAt = now;
		return now;
	}
}
