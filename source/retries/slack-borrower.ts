/**
 * Borrows retries of a service from the ledgers in the store.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {type StoreEraRecord, type RowStore, type StoredRow} from '../stored-rows/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {
	decodeLedger, divideSlack, encodeLedger, fullyLentLedger, lend, loanMilliseconds, loanRetention, type LendResult, type Loan, type SlackLimits,
} from './slack-ledger.ts';

/** Options of {@linkcode SlackBorrower}. */
export type SlackBorrowerOptions = {
	service: string;
	/** Unique name of this process, never reused by another one. */
	holder: string;
	limits: SlackLimits;
	store: Pick<RowStore, 'readPrefix' | 'writeRow'>;
	eraRecord: Pick<StoreEraRecord, 'presentSince'>;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
};

/** Table of the ledgers, with several rows per service. */
const ledgerTable = 'retry-slack';

/** Separates the service name from the ledger number in a row key. */
const keySeparator = '/';

/** Maximum number of attempts to borrow while other gateways change the ledgers concurrently. */
const maximumAttempts = 4;

/** Retries to request at first. */
const initialLoanSize = 2;

/** Maximum size of a loan, as a share of the slack. */
const maximumLoanShare = 0.06;

/** Initial backoff after nothing could be borrowed, in milliseconds. */
const initialBackoffMilliseconds = 250;

/** Maximum backoff after nothing could be borrowed, in milliseconds. */
const maximumBackoffMilliseconds = 4000;

/** The loan that one ledger can grant. */
type LoanOffer = LendResult & {key: string; revision: number; isReadable: boolean};

type CurrentLoan = {
	/** Row key of its ledger. */
	key: string;
	/** The store's time of the loan, in milliseconds; identifies it in its ledger. */
	at: number;
	/** Clock reading taken before the request to the store; the loan's lifetime is counted from it. */
	requestedAt: ClockReading;
	granted: number;
	used: number;
};

/**
 * Holds one loan of a service's slack at a time, and borrows another one once it is used up or expired.
 *
 * @example
 * ```ts
 * if (borrower.take(now) || (await borrower.borrow(1), borrower.take(now))) retry();
 * ```
 */
export class SlackBorrower {
	readonly #options: SlackBorrowerOptions;
	#loan: CurrentLoan | undefined;
	/** Retries used from earlier loans that may still be in their ledgers, by row key and time of the loan. */
	readonly #used = new Map<string, Map<number, number>>();
	readonly #ledgers: ReadonlyArray<{key: string; limits: SlackLimits}>;
	/** Index of the ledger to borrow from first, so that the unused part of a loan is returned with the next one. */
	#preferredLedger: number;
	#borrowing: Promise<void> | undefined;
	#nextLoanSize = initialLoanSize;
	#backoffMilliseconds = initialBackoffMilliseconds;
	/** Monotonic time until which not to borrow, in milliseconds. */
	#backoffUntil = Number.NEGATIVE_INFINITY;

	constructor(options: SlackBorrowerOptions) {
		this.#options = options;
		this.#ledgers = divideSlack(options.limits).map((limits, index) => ({key: `${options.service}${keySeparator}${index}`, limits}));
		this.#preferredLedger = Math.floor(options.random() * this.#ledgers.length);
	}

	/** Returns the number of retries left in the current loan. */
	remaining(now: ClockReading): number {
		const loan = this.#loan;
		return loan && ageOf(loan.requestedAt, now) < loanMilliseconds ? loan.granted - loan.used : 0;
	}

	/** Takes one retry from the current loan, if any is left. */
	take(now: ClockReading): boolean {
		if (this.remaining(now) === 0) {
			return false;
		}

		this.#loan!.used += 1;
		return true;
	}

	/** Whether a loan may be requested: a request is in progress, or the backoff after a refusal or failure has passed. */
	mayBorrow(now: ClockReading): boolean {
		return this.#borrowing !== undefined || now.steady >= this.#backoffUntil;
	}

	/**
	 * Requests a new loan. Concurrent calls share one request to the store.
	 *
	 * @param waiting Number of retries that wait for the loan.
	 */
	async borrow(waiting: number): Promise<void> {
		this.#borrowing ??= this.#borrow(Math.max(waiting, this.#nextLoanSize)).finally(() => {
			this.#borrowing = undefined;
		});
		return this.#borrowing;
	}

	async #borrow(wanted: number): Promise<void> {
		this.#closeLoan();
		for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
			const outcome = await this.#tryBorrow(wanted);
			if (outcome !== 'conflict') {
				return;
			}

			this.#preferredLedger = Math.floor(this.#options.random() * this.#ledgers.length);
		}

		this.#backOff('every attempt conflicted with a concurrent write');
	}

	/** Closes the current loan, so that its unused part can be lent again. */
	#closeLoan(): void {
		const {limits: {slack}} = this.#options;
		if (!this.#loan) {
			return;
		}

		const {key, at, used, granted} = this.#loan;
		this.#nextLoanSize = used === granted ? Math.min(this.#nextLoanSize * 2, Math.max(initialLoanSize, Math.floor(slack * maximumLoanShare))) : initialLoanSize;
		this.#used.set(key, (this.#used.get(key) ?? new Map<number, number>()).set(at, used));
		this.#loan = undefined;
	}

	async #tryBorrow(wanted: number): Promise<'done' | 'conflict'> {
		const {
			store, eraRecord, service, limits: {windowMilliseconds}, logger, readClock,
		} = this.#options;
		const requestedAt = readClock();
		const read = await store.readPrefix(ledgerTable, `${service}${keySeparator}`);
		if (read.isErr()) {
			this.#backOff(read.error.message);
			return 'done';
		}

		const {rows, storeMilliseconds: now} = read.value;
		if (now === undefined) {
			this.#backOff('the store did not report its time');
			return 'done';
		}

		const presentSince = await eraRecord.presentSince(read.value, now);
		if (presentSince.isErr()) {
			this.#backOff(presentSince.error);
			return 'done';
		}

		const lendAt = presentSince.value + loanRetention(windowMilliseconds);
		if (now < lendAt) {
			this.#backOff('retries that were lent before the store came back from an older copy may still be used', lendAt - now);
			return 'done';
		}

		const offers = this.#ledgers.map(({key, limits}) => this.#offer({
			key, limits, row: rows.find(row => row.key === key), wanted, now,
		}));
		const offer = this.#chooseOffer(offers);
		if (!offer) {
			this.#backOff('all retries are lent', Math.min(...offers.map(({freeAt}) => freeAt)) - now);
			return 'done';
		}

		const {key, ledger, revision, granted} = offer;
		const written = await store.writeRow({
			table: ledgerTable, key, content: encodeLedger(ledger), expectedRevision: revision,
		});
		if (written.isErr()) {
			this.#backOff(written.error.message);
			return 'done';
		}

		if (written.value.kind === 'conflict') {
			return 'conflict';
		}

		this.#used.delete(key);
		this.#loan = {
			key, at: now, requestedAt, granted, used: 0,
		};
		this.#backoffMilliseconds = initialBackoffMilliseconds;
		logger.info('retries borrowed', {
			service, granted, wanted, lent: ledger.reduce((sum, {retries}) => sum + retries, 0), ledger: this.#ledgers.findIndex(each => each.key === key), storeMilliseconds: now,
		});
		return 'done';
	}

	/** Returns the loan that a ledger can grant; one that cannot be decoded is replaced by a fully lent one. */
	#offer({key, limits, row, wanted, now}: {key: string; limits: SlackLimits; row: StoredRow | undefined; wanted: number; now: number}): LoanOffer {
		const {holder} = this.#options;
		const ledger = this.#decode(row?.content, now);
		const lending = lend({
			ledger: ledger ?? fullyLentLedger(limits, now), limits, holder, wanted, used: this.#used.get(key) ?? new Map(), now,
		});
		return {
			...lending, key, revision: row?.revision ?? 0, isReadable: ledger !== undefined,
		};
	}

	/** Returns the offer of a ledger that must be replaced, of the preferred ledger if it lends anything, or of a random one of those that lend most. */
	#chooseOffer(offers: readonly LoanOffer[]): LoanOffer | undefined {
		const unreadable = offers.find(({isReadable}) => !isReadable);
		const preferred = offers[this.#preferredLedger]!;
		if (unreadable ?? preferred.granted > 0) {
			return unreadable ?? preferred;
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

	/** Backs off before the next request to the store: exponentially with jitter, and at least until a loan may be free. */
	#backOff(reason: string, minimumMilliseconds = 0): void {
		const {service, logger, readClock, random} = this.#options;
		const pauseMilliseconds = Math.max(minimumMilliseconds, this.#backoffMilliseconds) + (this.#backoffMilliseconds * random() / 2);
		this.#backoffUntil = readClock().steady + pauseMilliseconds;
		this.#backoffMilliseconds = Math.min(this.#backoffMilliseconds * 2, maximumBackoffMilliseconds);
		logger.warn('no retries could be borrowed', {service, reason, pauseMilliseconds: Math.round(pauseMilliseconds)});
	}
}
