/**
 * Borrows retries of a service from other gateways.
 *
 * @module
 */
import {type ClockReading} from '../clocks/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {chooseLenders, type Lender} from './choose-lenders.ts';
import {PeerLoans} from './peer-loans.ts';
import {creditsPerRetry} from './retry-credits.ts';
import {maximumPeerLoan, type RetryLoanReply, type RetryLoanRequest} from './retry-loan-message.ts';

/** Calls to other gateways for loans. */
export type LenderPort = {
	/** Name of this gateway. */
	self: string;
	/** Returns the live gateways without this one. */
	gateways: (now: ClockReading) => readonly Lender[];
	/** Requests a loan; undefined without a reply in time. */
	requestLoan: (lender: Lender, request: RetryLoanRequest, timeoutMilliseconds: number) => Promise<RetryLoanReply | undefined>;
};

/** Options of {@linkcode PeerBorrower}. */
export type PeerBorrowerOptions = LenderPort & {
	service: string;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
	/** Counts retries that were borrowed. Default does nothing. */
	count?: (retries: number) => void;
};

/** Number of gateways that are asked at the same time. */
const gatewaysPerRound = 4;

/** Factor by which a round asks for more than is missing, since most gateways can lend only a part of what they are asked for. */
const overAskingFactor = 2;

/** Smallest number of credits to ask a gateway for. */
const minimumWanted = creditsPerRetry / 2;

/** Timeout of a call to another gateway, in milliseconds. */
const callTimeoutMilliseconds = 150;

/** Time for which a gateway that lent less than it was asked for is not asked again, in milliseconds; it gains credits only by new requests. */
const emptyMilliseconds = 500;

/** Time for which a gateway that did not reply is not asked again, in milliseconds. */
const unreachableMilliseconds = 3000;

/** Time until the next round after one in which nothing was lent, in milliseconds. */
const backoffMilliseconds = 100;

/**
 * Asks a few gateways at a time, in rounds that all waiting retries of a service share.
 *
 * @example
 * ```ts
 * await borrower.borrow(1000);
 * borrower.loans.take(1000, readClock());
 * ```
 */
export class PeerBorrower {
	/** Loans that may be used. */
	readonly loans = new PeerLoans();
	readonly #options: PeerBorrowerOptions;
	readonly #avoidedUntil = new Map<string, number>();
	/** Steady time until which no gateway is asked, in milliseconds. */
	#backoffUntil = Number.NEGATIVE_INFINITY;

	constructor(options: PeerBorrowerOptions) {
		this.#options = options;
	}

	/**
	 * Asks a few gateways for loans and waits for their replies.
	 *
	 * @param missing Number of credits that are needed.
	 * @returns Number of credits lent; 0 without a question for a short time after a round in which nothing was lent.
	 */
	async borrow(missing: number): Promise<number> {
		const {
			self, service, gateways, logger, readClock, random,
		} = this.#options;
		const now = readClock();
		if (now.steady < this.#backoffUntil) {
			return 0;
		}

		this.#forgetAvoided(now.steady);
		const lenders = chooseLenders({
			self, gateways: gateways(now), avoidedUntil: this.#avoidedUntil, count: gatewaysPerRound, now: now.steady, random,
		});
		const wanted = Math.min(maximumPeerLoan, Math.max(minimumWanted, Math.ceil(missing * overAskingFactor / Math.max(1, lenders.length))));
		const loans = await Promise.all(lenders.map(async lender => this.#borrowFrom(lender, wanted)));
		const lent = loans.reduce((sum, loan) => sum + loan, 0);
		this.#options.count?.(lent / creditsPerRetry);
		if (lent === 0) {
			this.#backoffUntil = readClock().steady + backoffMilliseconds;
		}

		logger.info('retries borrowed from gateways', {
			service, missing: missing / creditsPerRetry, lent: lent / creditsPerRetry, lenders: lenders.map(({name}) => name), milliseconds: Math.round(readClock().steady - now.steady),
		});
		return lent;
	}

	#forgetAvoided(now: number): void {
		for (const [name, until] of this.#avoidedUntil) {
			if (now >= until) {
				this.#avoidedUntil.delete(name);
			}
		}
	}

	/** Requests a loan from one gateway; returns the credits lent. */
	async #borrowFrom(lender: Lender, wanted: number): Promise<number> {
		const {service, requestLoan, readClock} = this.#options;
		const requestedAt = readClock();
		const reply = await requestLoan(lender, {service, wanted}, callTimeoutMilliseconds);
		const lent = Math.min(reply?.lent ?? 0, wanted);
		if (lent > 0) {
			this.loans.add(lent, requestedAt);
		}

		if (lent < wanted) {
			this.#avoidedUntil.set(lender.name, readClock().steady + (reply ? emptyMilliseconds : unreachableMilliseconds));
		}

		return lent;
	}
}
