/**
 * Borrows retries from the ledger in the store.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../beliefs/mod.ts';
import {type StoreClient} from '../platform/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {
	decodeLedger, encodeLedger, fullyLent, lend, loanMilliseconds, type Loan, type SlackTerms,
} from './slack-ledger.ts';

/** Options of {@linkcode SlackBorrower}. */
export type SlackBorrowerOptions = {
	service: string;
	/** Name of this process; no other one, earlier or later, has it. */
	holder: string;
	terms: SlackTerms;
	store: Pick<StoreClient, 'readRow' | 'writeRow'>;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
};

/** Table of the ledgers, one row a service. */
const ledgerTable = 'retry-slack';

/** Tries to change a ledger that others change at the same time. */
const mostTries = 4;

/** Retries that are asked for at first. */
const firstWish = 2;

/** Share of the slack that is asked for at most at once. */
const largestWishShare = 0.06;

/** First pause after nothing could be borrowed, in milliseconds. */
const firstPauseMilliseconds = 250;

/** Longest pause after nothing could be borrowed, in milliseconds. */
const longestPauseMilliseconds = 4000;

type HeldLoan = {
	at: number;
	/** Time before the store was asked; the loan is used up to a time after it. */
	askedAt: ClockReading;
	granted: number;
	used: number;
};

/**
 * Keeps one loan of a service's slack at a time, and asks for another one once it is used up or too old.
 *
 * @example
 * ```ts
 * if (borrower.take(now) || (await borrower.borrow(1), borrower.take(now))) retry();
 * ```
 */
export class SlackBorrower {
	readonly #options: SlackBorrowerOptions;
	#loan: HeldLoan | undefined;
	/** What was used of earlier loans that may still stand in the ledger, by their time. */
	#used = new Map<number, number>();
	#borrowing: Promise<void> | undefined;
	#wish = firstWish;
	#pauseMilliseconds = firstPauseMilliseconds;
	/** Steady time before which asking is useless, in milliseconds. */
	#pausesUntil = Number.NEGATIVE_INFINITY;

	constructor(options: SlackBorrowerOptions) {
		this.#options = options;
	}

	/** Retries that may be made at once. */
	left(now: ClockReading): number {
		const loan = this.#loan;
		return loan && ageOf(loan.askedAt, now) < loanMilliseconds ? loan.granted - loan.used : 0;
	}

	/** Takes one retry of the loan, if it has one left. */
	take(now: ClockReading): boolean {
		if (this.left(now) === 0) {
			return false;
		}

		this.#loan!.used += 1;
		return true;
	}

	/** Whether it is worth asking: nothing has just been refused or failed. */
	mayBorrow(now: ClockReading): boolean {
		return this.#borrowing !== undefined || now.steady >= this.#pausesUntil;
	}

	/**
	 * Borrows more; one call to the store serves all who ask meanwhile.
	 *
	 * @param waiting Retries that wait for it.
	 */
	async borrow(waiting: number): Promise<void> {
		this.#borrowing ??= this.#borrow(Math.max(waiting, this.#wish)).finally(() => {
			this.#borrowing = undefined;
		});
		return this.#borrowing;
	}

	async #borrow(wanted: number): Promise<void> {
		this.#settle();
		for (let tries = 1; tries <= mostTries; tries += 1) {
			const outcome = await this.#try(wanted);
			if (outcome !== 'conflict') {
				return;
			}
		}

		this.#pause('others changed the ledger each time');
	}

	/** Closes the loan, so that what is left of it can be lent again. */
	#settle(): void {
		const {terms: {slack}} = this.#options;
		if (!this.#loan) {
			return;
		}

		const {at, used, granted} = this.#loan;
		this.#wish = used === granted ? Math.min(this.#wish * 2, Math.max(firstWish, Math.floor(slack * largestWishShare))) : firstWish;
		this.#used.set(at, used);
		this.#loan = undefined;
	}

	async #try(wanted: number): Promise<'done' | 'conflict'> {
		const {store, service, terms, holder, logger, readClock} = this.#options;
		const askedAt = readClock();
		const read = await store.readRow(ledgerTable, service);
		if (read.isErr()) {
			this.#pause(read.error.message);
			return 'done';
		}

		const {row, storeMilliseconds: now} = read.value;
		if (now === undefined) {
			this.#pause('the store does not tell its time');
			return 'done';
		}

		const ledger = this.#decode(row?.content, now);
		const {ledger: next, granted, lent, freeAt} = lend({
			ledger: ledger ?? fullyLent(terms, now), terms, holder, wanted, used: this.#used, now,
		});
		if (granted === 0 && ledger) {
			this.#pause('all retries are lent', freeAt - now);
			return 'done';
		}

		const written = await store.writeRow({
			table: ledgerTable, key: service, content: encodeLedger(next), expectedRevision: row?.revision ?? 0,
		});
		if (written.isErr()) {
			this.#pause(written.error.message);
			return 'done';
		}

		if (written.value.kind === 'conflict') {
			return 'conflict';
		}

		this.#used = new Map();
		this.#loan = {
			at: now, askedAt, granted, used: 0,
		};
		this.#pauseMilliseconds = firstPauseMilliseconds;
		logger.info('retries borrowed', {
			service, granted, wanted, lent, loans: next.length, storeMilliseconds: now,
		});
		return 'done';
	}

	#decode(content: Uint8Array | undefined, now: number): Loan[] | undefined {
		const {service, logger} = this.#options;
		const ledger = decodeLedger(content);
		if (ledger.isErr()) {
			logger.error('ledger of retries cannot be read and starts anew, fully lent', {service, storeMilliseconds: now, reason: ledger.error});
		}

		return ledger.unwrapOr(undefined);
	}

	/** Waits before the store is asked again: longer each time, and at least until something may be free. */
	#pause(reason: string, leastMilliseconds = 0): void {
		const {service, logger, readClock, random} = this.#options;
		const pauseMilliseconds = Math.max(leastMilliseconds, this.#pauseMilliseconds) * (1 + (random() / 2));
		this.#pausesUntil = readClock().steady + pauseMilliseconds;
		this.#pauseMilliseconds = Math.min(this.#pauseMilliseconds * 2, longestPauseMilliseconds);
		logger.warn('no retries could be borrowed', {service, reason, pauseMilliseconds: Math.round(pauseMilliseconds)});
	}
}
