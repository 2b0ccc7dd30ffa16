/**
 * Borrows retries from the ledgers in the store.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../beliefs/mod.ts';
import {type StoreClient, type StoredRow} from '../platform/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {
	decodeLedger, divideSlack, encodeLedger, fullyLent, lend, loanMilliseconds, type Lending, type Loan, type SlackTerms,
} from './slack-ledger.ts';

/** Options of {@linkcode SlackBorrower}. */
export type SlackBorrowerOptions = {
	service: string;
	/** Name of this process; no other one, earlier or later, has it. */
	holder: string;
	terms: SlackTerms;
	store: Pick<StoreClient, 'readPrefix' | 'writeRow'>;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
};

/** Table of the ledgers, some rows a service. */
const ledgerTable = 'retry-slack';

/** Stands between a service's name and the number of its ledger. */
const keySeparator = '/';

/** Tries to change ledgers that others change at the same time. */
const mostTries = 4;

/** Retries that are asked for at first. */
const firstWish = 2;

/** Share of the slack that is asked for at most at once. */
const largestWishShare = 0.06;

/** First pause after nothing could be borrowed, in milliseconds. */
const firstPauseMilliseconds = 250;

/** Longest pause after nothing could be borrowed, in milliseconds. */
const longestPauseMilliseconds = 4000;

/** What one ledger would lend. */
type Offer = Lending & {key: string; revision: number; isReadable: boolean};

type HeldLoan = {
	/** Ledger in which it stands. */
	key: string;
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
	/** What was used of earlier loans that may still stand in their ledgers, by ledger and time. */
	readonly #used = new Map<string, Map<number, number>>();
	readonly #ledgers: ReadonlyArray<{key: string; terms: SlackTerms}>;
	/** Ledger that is asked first, so that what is left of a loan goes back with the next one. */
	#home: number;
	#borrowing: Promise<void> | undefined;
	#wish = firstWish;
	#pauseMilliseconds = firstPauseMilliseconds;
	/** Steady time before which asking is useless, in milliseconds. */
	#pausesUntil = Number.NEGATIVE_INFINITY;

	constructor(options: SlackBorrowerOptions) {
		this.#options = options;
		this.#ledgers = divideSlack(options.terms).map((terms, index) => ({key: `${options.service}${keySeparator}${index}`, terms}));
		this.#home = Math.floor(options.random() * this.#ledgers.length);
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

			this.#home = Math.floor(this.#options.random() * this.#ledgers.length);
		}

		this.#pause('others changed the ledgers each time');
	}

	/** Closes the loan, so that what is left of it can be lent again. */
	#settle(): void {
		const {terms: {slack}} = this.#options;
		if (!this.#loan) {
			return;
		}

		const {key, at, used, granted} = this.#loan;
		this.#wish = used === granted ? Math.min(this.#wish * 2, Math.max(firstWish, Math.floor(slack * largestWishShare))) : firstWish;
		this.#used.set(key, (this.#used.get(key) ?? new Map<number, number>()).set(at, used));
		this.#loan = undefined;
	}

	async #try(wanted: number): Promise<'done' | 'conflict'> {
		const {store, service, logger, readClock} = this.#options;
		const askedAt = readClock();
		const read = await store.readPrefix(ledgerTable, `${service}${keySeparator}`);
		if (read.isErr()) {
			this.#pause(read.error.message);
			return 'done';
		}

		const {rows, storeMilliseconds: now} = read.value;
		if (now === undefined) {
			this.#pause('the store does not tell its time');
			return 'done';
		}

		const offers = this.#ledgers.map(({key, terms}) => this.#offer({
			key, terms, row: rows.find(row => row.key === key), wanted, now,
		}));
		const offer = this.#choose(offers);
		if (!offer) {
			this.#pause('all retries are lent', Math.min(...offers.map(({freeAt}) => freeAt)) - now);
			return 'done';
		}

		const {key, ledger, revision, granted} = offer;
		const written = await store.writeRow({
			table: ledgerTable, key, content: encodeLedger(ledger), expectedRevision: revision,
		});
		if (written.isErr()) {
			this.#pause(written.error.message);
			return 'done';
		}

		if (written.value.kind === 'conflict') {
			return 'conflict';
		}

		this.#used.delete(key);
		this.#loan = {
			key, at: now, askedAt, granted, used: 0,
		};
		this.#pauseMilliseconds = firstPauseMilliseconds;
		logger.info('retries borrowed', {
			service, granted, wanted, lent: ledger.reduce((sum, {retries}) => sum + retries, 0), ledger: this.#ledgers.findIndex(each => each.key === key), storeMilliseconds: now,
		});
		return 'done';
	}

	/** What a ledger would lend; one that cannot be read starts anew, fully lent. */
	#offer({key, terms, row, wanted, now}: {key: string; terms: SlackTerms; row: StoredRow | undefined; wanted: number; now: number}): Offer {
		const {holder} = this.#options;
		const ledger = this.#decode(row?.content, now);
		const lending = lend({
			ledger: ledger ?? fullyLent(terms, now), terms, holder, wanted, used: this.#used.get(key) ?? new Map(), now,
		});
		return {
			...lending, key, revision: row?.revision ?? 0, isReadable: ledger !== undefined,
		};
	}

	/** A ledger that must be mended, the one asked first if it lends anything, or one of those that lend most. */
	#choose(offers: readonly Offer[]): Offer | undefined {
		const broken = offers.find(({isReadable}) => !isReadable);
		const home = offers[this.#home]!;
		if (broken ?? home.granted > 0) {
			return broken ?? home;
		}

		const most = Math.max(...offers.map(({granted}) => granted));
		const best = offers.filter(({granted}) => granted === most);
		return most > 0 ? best[Math.floor(this.#options.random() * best.length)] : undefined;
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
		const pauseMilliseconds = Math.max(leastMilliseconds, this.#pauseMilliseconds) + (this.#pauseMilliseconds * random() / 2);
		this.#pausesUntil = readClock().steady + pauseMilliseconds;
		this.#pauseMilliseconds = Math.min(this.#pauseMilliseconds * 2, longestPauseMilliseconds);
		logger.warn('no retries could be borrowed', {service, reason, pauseMilliseconds: Math.round(pauseMilliseconds)});
	}
}
