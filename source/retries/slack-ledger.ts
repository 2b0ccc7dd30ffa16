/**
 * Divides the slack of a service's retry budget among gateways. The slack is the number of retries allowed beyond the ratio.
 *
 * Hundreds of gateways share a few hundred retries, and may be started, suspended or partitioned from each other at any time. So the slack
 * is lent in small loans that are recorded in ledgers, and no gateway has to know how many others there are.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';

/** Schema of a loan as it is stored. */
export const loanSchema = z.object({
	/** Process that may use the loan. */
	holder: z.string(),
	/** The store's time when the loan was granted, in milliseconds; it was not used before. */
	at: z.number(),
	retries: z.number().int().nonnegative(),
});

/** A number of retries that one process may make. */
export type Loan = z.output<typeof loanSchema>;

const ledgerSchema = z.array(loanSchema);

/** Limits on the retries beyond the ratio. */
export type SlackLimits = {
	/** Maximum number of such retries in one window, over all gateways. */
	slack: number;
	windowMilliseconds: number;
};

/** Time for which a loan may be used, in milliseconds. */
export const loanMilliseconds = 3000;

/** Maximum time that a retry is expected to take to reach its endpoint, in milliseconds. */
const transitMilliseconds = 1000;

/** Share of the slack that is lent; the rest covers retries that take longer to reach their endpoint. */
const lendableShare = 0.9;

/** Slack per ledger. Several ledgers make write conflicts rare when gateways borrow at the same time. */
const slackPerLedger = 15;

/** Maximum number of ledgers per service. */
const maximumLedgers = 16;

/** Maximum number of loans in a ledger, so that its row stays small. */
const maximumLoansPerLedger = 200;

/**
 * Divides the slack of a service into ledgers of equal size, which are written independently of each other.
 *
 * @param limits Limits of the service.
 * @returns Limits of each ledger.
 */
export function divideSlack({slack, windowMilliseconds}: SlackLimits): SlackLimits[] {
	const count = Math.max(1, Math.min(maximumLedgers, Math.floor(slack / slackPerLedger)));
	return Array.from({length: count}, () => ({slack: slack / count, windowMilliseconds}));
}

/** Options of {@linkcode lend}. */
export type LendOptions = {
	ledger: readonly Loan[];
	limits: SlackLimits;
	/** Process that borrows. */
	holder: string;
	/** Number of retries requested. */
	wanted: number;
	/** Retries that the process made on its earlier loans, by the time of the loan. It must not use these loans any more. */
	used: ReadonlyMap<number, number>;
	/** The store's time, in milliseconds. */
	now: number;
};

/** Result of {@linkcode lend}. */
export type LendResult = {
	/** Updated ledger, which must be written before the loan is used. */
	ledger: Loan[];
	/** Retries lent by this loan; 0 if none are available. */
	granted: number;
	/** Retries lent to all processes, including this loan. */
	lent: number;
	/** The store's time at which the oldest loan is removed from the ledger, in milliseconds; infinite without loans. */
	freeAt: number;
};

/**
 * Lends retries to a process.
 *
 * A loan is kept in the ledger for as long as it can be used and for a whole window after that. So all loans that can be used within any
 * one window are in the ledger at the same time, and their sum stays within the slack.
 *
 * @param options Ledger and requested loan.
 * @example
 * ```ts
 * lend({ledger: [], limits: {slack: 300, windowMilliseconds: 10_000}, holder: 'host-1', wanted: 4, used: new Map(), now}).granted; // 4
 * ```
 */
export function lend({ledger, limits, holder, wanted, used, now}: LendOptions): LendResult {
	const retentionMilliseconds = loanRetention(limits.windowMilliseconds);
	const active = ledger
		// A loan with a time in the future was made before the store's time was reset.
		.map(loan => ({...loan, at: Math.min(loan.at, now)}))
		.filter(({at}) => at + retentionMilliseconds > now)
		.map(loan => loan.holder === holder ? {...loan, retries: used.get(loan.at) ?? loan.retries} : loan)
		.filter(({retries}) => retries > 0);
	const lendable = Math.floor(limits.slack * lendableShare);
	const lentBefore = active.reduce((sum, {retries}) => sum + retries, 0);
	const granted = active.length < maximumLoansPerLedger ? Math.max(0, Math.min(wanted, lendable - lentBefore)) : 0;
	const next = granted > 0 ? [...active, {holder, at: now, retries: granted}] : active;
	return {
		ledger: next,
		granted,
		lent: lentBefore + granted,
		freeAt: Math.min(...next.map(({at}) => at)) + retentionMilliseconds,
	};
}

/** Returns the time for which a loan is kept in its ledger, in milliseconds: for as long as it can be used, and for a whole window after that. */
export function loanRetention(windowMilliseconds: number): number {
	return loanMilliseconds + windowMilliseconds + transitMilliseconds;
}

/** Returns the replacement of a ledger that cannot be decoded: all of its slack counts as lent. */
export function fullyLentLedger({slack}: SlackLimits, now: number): Loan[] {
	return [{holder: '', at: now, retries: Math.ceil(slack)}];
}

/**
 * Decodes a ledger.
 *
 * @param content Content of its row; absent if there is none yet.
 * @returns The ledger, or why it cannot be decoded.
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

/** Encodes a ledger as the content of its row. */
export function encodeLedger(ledger: readonly Loan[]): string {
	return JSON.stringify(ledger);
}
