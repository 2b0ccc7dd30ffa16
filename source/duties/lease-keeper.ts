/**
 * Takes, renews and loses leases.
 *
 * No two clocks are compared: a holder counts from before its last write, and stops at two thirds of the term; another router
 * takes the lease only after it has itself seen the row unchanged for the whole term.
 *
 * @module
 */
import {type Condition, type PlatformClient, type Row} from '../table-service/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {leaseSchema, leaseTable, type Lease} from './lease.ts';

/** Options of {@linkcode LeaseKeeper}. */
export type LeaseKeeperOptions = {
	platform: PlatformClient;
	logger: Logger;
	/** Host and incarnation of this router. */
	holder: string;
	/** Time after which a lease that is not renewed may be taken, in milliseconds. */
	termMilliseconds: number;
	/** Returns the mean time between two looks at a lease that another router holds, in milliseconds. */
	lookMilliseconds: () => number;
	/** Whether this router may take and renew leases; a leaving one may not. */
	mayHold: () => boolean;
	/** Returns a name that is used once. */
	createToken: () => string;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

/** A lease that this router holds now. */
export type HeldLease = {
	fencingNumber: number;
	/** Monotonic time since which this router has held it without a break, in milliseconds. */
	heldSince: number;
	/** Whether another holder came before. */
	succeeded: boolean;
};

/** What this router knows of one lease. */
type Known = {
	held: (HeldLease & {validUntil: number}) | undefined;
	/** Token seen in the row, and the monotonic time at which it was first seen. */
	seenToken: string | undefined;
	seenSince: number;
	/** Monotonic time of the next read of the row. */
	dueAt: number;
};

/** Share of the term for which a holder acts after it began its last write. */
const validShare = 2 / 3;

/** Share of the term after which a holder renews. */
const renewShare = 1 / 3;

/** Share of a look's period by which it varies. */
const lookJitter = 0.2;

/** Time over which routers that await the same expiry spread, as a share of the term. */
const takeJitter = 0.2;

/** Leases that one read of the table names at most. */
const leasesPerRead = 100;

/**
 * Keeps this router's part in every lease.
 *
 * @example
 * ```ts
 * await keeper.tick(['engines/briefs']);
 * const held = keeper.held('engines/briefs');
 * ```
 */
export class LeaseKeeper {
	readonly #options: LeaseKeeperOptions;
	readonly #known = new Map<string, Known>();

	constructor(options: LeaseKeeperOptions) {
		this.#options = options;
	}

	/** Returns the lease while this router may act on it; ask again right before each act. */
	held(duty: string): HeldLease | undefined {
		const held = this.#known.get(duty)?.held;
		return held && this.#options.clock() < held.validUntil ? held : undefined;
	}

	/** Reads the leases that are due in one request, and renews or takes what may be renewed or taken. */
	async tick(duties: readonly string[]): Promise<void> {
		if (!this.#options.mayHold()) {
			this.#known.clear();
			return;
		}

		const due = duties.filter(duty => this.#isDue(duty)).slice(0, leasesPerRead);
		if (due.length === 0) {
			return;
		}

		const readAt = this.#options.clock();
		const rows = await this.#options.platform.read(due.map(key => ({table: leaseTable, key})));
		if (rows.isErr()) {
			this.#options.logger.warn('leases not read', rows.error);
			for (const duty of due) {
				this.#lookLater(duty);
			}

			return;
		}

		await Promise.all(due.map(async duty => this.#consider(duty, rows.value.find(row => row.key === duty), readAt)));
	}

	#isDue(duty: string): boolean {
		const {clock, random, lookMilliseconds} = this.#options;
		let known = this.#known.get(duty);
		if (!known) {
			// The first looks of routers that start together are spread as well.
			known = {
				held: undefined, seenToken: undefined, seenSince: 0, dueAt: clock() + (random() * lookMilliseconds()),
			};
			this.#known.set(duty, known);
		}

		return clock() >= known.dueAt;
	}

	async #consider(duty: string, row: Row | undefined, readAt: number): Promise<void> {
		const known = this.#known.get(duty)!;
		if (!row) {
			await this.#write(duty, {kind: 'absent'}, 1);
			return;
		}

		const lease = leaseSchema.safeParse(row.value);
		if (!lease.success) {
			this.#options.logger.error('lease cannot be decoded', {duty});
			this.#lookLater(duty);
			return;
		}

		const condition: Condition = {kind: 'revision', revision: row.revision};
		if (lease.data.holder === this.#options.holder) {
			await this.#write(duty, condition, lease.data.fencingNumber);
			return;
		}

		if (known.held) {
			this.#options.logger.info('lease lost', {duty, holder: lease.data.holder});
			known.held = undefined;
		}

		if (known.seenToken !== lease.data.token) {
			known.seenToken = lease.data.token;
			known.seenSince = this.#options.clock();
		}

		if (readAt - known.seenSince >= lease.data.termMilliseconds) {
			await this.#write(duty, condition, lease.data.fencingNumber + 1);
			return;
		}

		this.#lookLater(duty, lease.data);
	}

	/** Writes the row as this router's own; its answer counts only if it comes, otherwise the next read settles it. */
	async #write(duty: string, condition: Condition, fencingNumber: number): Promise<void> {
		const {platform, holder, termMilliseconds, createToken, clock, wallClock} = this.#options;
		const startedAt = clock();
		const lease: Lease = {
			holder, fencingNumber, termMilliseconds, expiresAt: wallClock() + termMilliseconds, token: createToken(),
		};
		const written = await platform.transact([{
			kind: 'put', table: leaseTable, key: duty, value: lease, condition,
		}]);
		if (written.isErr() || written.value.kind === 'conflict') {
			// A lost answer is settled by the next tick's read of the row.
			this.#known.get(duty)!.dueAt = clock();
			return;
		}

		this.#keep(duty, fencingNumber, startedAt);
	}

	#keep(duty: string, fencingNumber: number, startedAt: number): void {
		const {termMilliseconds, clock, logger} = this.#options;
		const known = this.#known.get(duty)!;
		const before = this.held(duty);
		const continues = before?.fencingNumber === fencingNumber;
		if (!continues) {
			logger.info('lease held', {duty, fencingNumber});
		}

		known.held = {
			fencingNumber,
			heldSince: continues ? before.heldSince : clock(),
			succeeded: fencingNumber > 1,
			validUntil: startedAt + (termMilliseconds * validShare),
		};
		known.dueAt = startedAt + (termMilliseconds * renewShare);
	}

	/** Plans the next read: at the usual pace, or once an apparently expired lease may be taken. */
	#lookLater(duty: string, lease?: Lease): void {
		const {clock, wallClock, random, lookMilliseconds} = this.#options;
		const known = this.#known.get(duty)!;
		const usual = clock() + (lookMilliseconds() * (1 - lookJitter + (2 * lookJitter * random())));
		if (lease && wallClock() >= lease.expiresAt) {
			known.dueAt = known.seenSince + (lease.termMilliseconds * (1 + (takeJitter * random())));
			return;
		}

		known.dueAt = known.held ? clock() : usual;
	}
}
