/**
 * Decides how much of the slack of a service's retry budget a gateway may use.
 *
 * Answers hundreds of gateways that share a few hundred retries, and that are started, suspended and cut off from each other at any
 * time: the slack is lent in small pieces from ledgers, so that none of them has to know how many others there are.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';

/** Schema of a loan as it lies in the store. */
export const loanSchema = z.object({
	/** Process that may use it. */
	holder: z.string(),
	/** The store's time before which it was not used, in milliseconds. */
	at: z.number(),
	retries: z.number().int().nonnegative(),
});

/** Some retries that one process may make. */
export type Loan = z.output<typeof loanSchema>;

const ledgerSchema = z.array(loanSchema);

/** Retries that may be made beyond the share of each gateway. */
export type SlackTerms = {
	/** Retries of one window, by all gateways together. */
	slack: number;
	windowMilliseconds: number;
};

/** Time for which a loan may be used, in milliseconds. */
export const loanMilliseconds = 3000;

/** Longest time that a retry is expected to take to its endpoint, in milliseconds. */
const transitMilliseconds = 1000;

/** Share of the slack that is lent; the rest covers retries that are held up longer on their way. */
const lentShare = 0.9;

/** Retries of the slack for which there is a ledger of its own, so that gateways that borrow at the same moment seldom meet. */
const slackPerLedger = 15;

/** Ledgers of a service at most. */
const mostLedgers = 16;

/** Loans that a ledger holds at most, so that it stays a small row. */
const mostLoans = 200;

/**
 * Divides the slack of a service into ledgers of equal size, which are written independently of each other.
 *
 * @param terms What all ledgers may lend together.
 * @returns What each of them may lend; there are as many of them as elements.
 */
export function divideSlack({slack, windowMilliseconds}: SlackTerms): SlackTerms[] {
	const count = Math.max(1, Math.min(mostLedgers, Math.floor(slack / slackPerLedger)));
	return Array.from({length: count}, () => ({slack: slack / count, windowMilliseconds}));
}

/** Options of {@linkcode lend}. */
export type LendOptions = {
	ledger: readonly Loan[];
	terms: SlackTerms;
	/** Process that asks. */
	holder: string;
	/** Retries that it would like to make. */
	wanted: number;
	/** What it has made of its earlier loans, by their time; they can't be used any more. */
	used: ReadonlyMap<number, number>;
	/** The store's time, in milliseconds. */
	now: number;
};

/** What a ledger allows. */
export type Lending = {
	/** Ledger to be written before the loan is used. */
	ledger: Loan[];
	/** Retries lent; 0 when all are lent already. */
	granted: number;
	/** Retries lent to all processes, this loan included. */
	lent: number;
	/** The store's time at which the oldest loan ends, in milliseconds; infinite where there is none. */
	freeAt: number;
};

/**
 * Lends retries to a process.
 *
 * Each loan stands in the ledger for the time in which it can be used and a whole window after it. So the loans that can be used within any
 * one window stand there together, and their sum stays within the slack.
 *
 * @param options Ledger and wish.
 * @example
 * ```ts
 * lend({ledger: [], terms: {slack: 300, windowMilliseconds: 10_000}, holder: 'host-1', wanted: 4, used: new Map(), now}).granted; // 4
 * ```
 */
export function lend({ledger, terms, holder, wanted, used, now}: LendOptions): Lending {
	const keptMilliseconds = loanMilliseconds + terms.windowMilliseconds + transitMilliseconds;
	const kept = ledger
		// A loan of the future comes from a store whose time began anew.
		.map(loan => ({...loan, at: Math.min(loan.at, now)}))
		.filter(({at}) => at + keptMilliseconds > now)
		.map(loan => loan.holder === holder ? {...loan, retries: used.get(loan.at) ?? loan.retries} : loan)
		.filter(({retries}) => retries > 0);
	const limit = Math.floor(terms.slack * lentShare);
	const lentBefore = kept.reduce((sum, {retries}) => sum + retries, 0);
	const granted = kept.length < mostLoans ? Math.max(0, Math.min(wanted, limit - lentBefore)) : 0;
	const next = granted > 0 ? [...kept, {holder, at: now, retries: granted}] : kept;
	return {
		ledger: next,
		granted,
		lent: lentBefore + granted,
		freeAt: Math.min(...next.map(({at}) => at)) + keptMilliseconds,
	};
}

/** The ledger that stands in place of one that cannot be read: all that there is counts as lent. */
export function fullyLent({slack}: SlackTerms, now: number): Loan[] {
	return [{holder: '', at: now, retries: Math.ceil(slack)}];
}

/**
 * Reads a ledger.
 *
 * @param content Content of its row; absent where there is none yet.
 * @returns The ledger, or why it cannot be read.
 */
export function decodeLedger(content: Uint8Array | undefined): Result<Loan[], string> {
	if (content === undefined) {
		return ok([]);
	}

	try {
		return ok(ledgerSchema.parse(JSON.parse(new TextDecoder().decode(content))));
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}

/** Content of a ledger's row. */
export function encodeLedger(ledger: readonly Loan[]): string {
	return JSON.stringify(ledger);
}
