/**
 * Credits that other gateways lent to this one.
 *
 * @module
 */
import {isContinuous, type ClockReading} from '../clocks/mod.ts';
import {peerLoanMilliseconds} from './retry-loan-message.ts';

type PeerLoan = {
	credits: number;
	/** Clock reading taken before the request for the loan; its lifetime is counted from it. */
	requestedAt: ClockReading;
};

/**
 * Holds loans until they are used or expire. A suspension of the host or a step of its wall clock ends all loans from before it.
 *
 * @example
 * ```ts
 * loans.add(800, requestedAt);
 * loans.take(400, now); // 400
 * ```
 */
export class PeerLoans {
	#loans: PeerLoan[] = [];

	/** Adds a loan. */
	add(credits: number, requestedAt: ClockReading): void {
		this.#loans.push({credits, requestedAt});
	}

	/** Returns the number of credits that may be used now. */
	available(now: ClockReading): number {
		this.#loans = this.#loans.filter(({credits, requestedAt}) => credits > 0 && isContinuous(requestedAt, now) && now.steady - requestedAt.steady < peerLoanMilliseconds);
		return this.#loans.reduce((sum, {credits}) => sum + credits, 0);
	}

	/** Takes up to a number of credits, those lent first before others; returns the number taken. */
	take(wanted: number, now: ClockReading): number {
		let missing = Math.min(wanted, this.available(now));
		const taken = missing;
		for (const loan of this.#loans) {
			const used = Math.min(loan.credits, missing);
			loan.credits -= used;
			missing -= used;
		}

		return taken;
	}
}
