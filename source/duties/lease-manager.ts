/**
 * Acquires and renews leases, and detects their loss.
 *
 * The clocks of two routers are never compared. A holder measures the term from the start of its last write and stops acting after
 * two thirds of it; another router acquires the lease only after it has observed the row unchanged for the whole term.
 *
 * @module
 */
import {type Condition, type PlatformClient, type Row} from '../table-service/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {leaseSchema, leaseTable, type Lease} from './lease.ts';

/** Options of {@linkcode LeaseManager}. */
export type LeaseManagerOptions = {
	platform: PlatformClient;
	logger: Logger;
	/** Host and incarnation of this router. */
	holder: string;
	/** Time after which a lease that is not renewed may be acquired by another router, in milliseconds. */
	termMilliseconds: number;
	/** Returns the mean interval at which a lease that another router holds is polled, in milliseconds. */
	pollMilliseconds: () => number;
	/** Returns whether this router may acquire and renew leases; false while it is leaving. */
	mayHold: () => boolean;
	/** Returns a unique token. */
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
	/** Monotonic time since which this router has held the lease without interruption, in milliseconds. */
	heldSince: number;
	/** Whether another router held the lease before. */
	hasPredecessor: boolean;
};

/** Known state of one lease. */
type LeaseState = {
	held: (HeldLease & {validUntil: number}) | undefined;
	/** Token last observed in the row, and the monotonic time at which it was first observed. */
	observedToken: string | undefined;
	unchangedSince: number;
	/** Monotonic time of the next read of the row. */
	dueAt: number;
};

/** Fraction of the term, from the start of its last write, during which a holder may act. */
const validFraction = 2 / 3;

/** Fraction of the term after which a holder renews the lease. */
const renewalFraction = 1 / 3;

/** Fraction by which the poll interval varies. */
const pollJitter = 0.2;

/** Range of random delays of routers that wait for the same expiry, as a fraction of the term. */
const acquireJitter = 0.2;

/** Maximum number of leases in one read of the table. */
const maximumLeasesPerRead = 100;

/**
 * Manages the leases of this router.
 *
 * @example
 * ```ts
 * await leases.tick(['engines/briefs']);
 * const held = leases.heldLease('engines/briefs');
 * ```
 */
export class LeaseManager {
	readonly #options: LeaseManagerOptions;
	readonly #states = new Map<string, LeaseState>();

	constructor(options: LeaseManagerOptions) {
		this.#options = options;
	}

	/** Returns the lease while this router may act on it; call this again immediately before each action. */
	heldLease(duty: string): HeldLease | undefined {
		const held = this.#states.get(duty)?.held;
		return held && this.#options.clock() < held.validUntil ? held : undefined;
	}

	/** Reads all leases that are due in one request, then renews those that this router holds and acquires those that are free. */
	async tick(duties: readonly string[]): Promise<void> {
		if (!this.#options.mayHold()) {
			this.#states.clear();
			return;
		}

		const due = duties.filter(duty => this.#isDue(duty)).slice(0, maximumLeasesPerRead);
		if (due.length === 0) {
			return;
		}

		const readAt = this.#options.clock();
		const rows = await this.#options.platform.read(due.map(key => ({table: leaseTable, key})));
		if (rows.isErr()) {
			this.#options.logger.warn('leases not read', rows.error);
			for (const duty of due) {
				this.#scheduleRead(duty);
			}

			return;
		}

		await Promise.all(due.map(async duty => this.#renewOrAcquire(duty, rows.value.find(row => row.key === duty), readAt)));
	}

	#isDue(duty: string): boolean {
		const {clock, random, pollMilliseconds} = this.#options;
		let state = this.#states.get(duty);
		if (!state) {
			// The first reads of routers that start together are spread as well.
			state = {
				held: undefined, observedToken: undefined, unchangedSince: 0, dueAt: clock() + (random() * pollMilliseconds()),
			};
			this.#states.set(duty, state);
		}

		return clock() >= state.dueAt;
	}

	async #renewOrAcquire(duty: string, row: Row | undefined, readAt: number): Promise<void> {
		const state = this.#states.get(duty)!;
		if (!row) {
			await this.#write(duty, {kind: 'absent'}, 1);
			return;
		}

		const lease = leaseSchema.safeParse(row.value);
		if (!lease.success) {
			this.#options.logger.error('lease cannot be decoded', {duty});
			this.#scheduleRead(duty);
			return;
		}

		const condition: Condition = {kind: 'revision', revision: row.revision};
		if (lease.data.holder === this.#options.holder) {
			await this.#write(duty, condition, lease.data.fencingNumber);
			return;
		}

		if (state.held) {
			this.#options.logger.info('lease lost', {duty, holder: lease.data.holder});
			state.held = undefined;
		}

		if (state.observedToken !== lease.data.token) {
			state.observedToken = lease.data.token;
			state.unchangedSince = this.#options.clock();
		}

		if (readAt - state.unchangedSince >= lease.data.termMilliseconds) {
			await this.#write(duty, condition, lease.data.fencingNumber + 1);
			return;
		}

		this.#scheduleRead(duty, lease.data);
	}

	/** Writes the row with this router as the holder. Without an answer, the next read shows whether the write took effect. */
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
			// The read of the row at the next tick shows who holds the lease.
			this.#states.get(duty)!.dueAt = clock();
			return;
		}

		this.#recordHeld(duty, fencingNumber, startedAt);
	}

	#recordHeld(duty: string, fencingNumber: number, startedAt: number): void {
		const {termMilliseconds, clock, logger} = this.#options;
		const state = this.#states.get(duty)!;
		const before = this.heldLease(duty);
		const continues = before?.fencingNumber === fencingNumber;
		if (!continues) {
			logger.info('lease held', {duty, fencingNumber});
		}

		state.held = {
			fencingNumber,
			heldSince: continues ? before.heldSince : clock(),
			hasPredecessor: fencingNumber > 1,
			validUntil: startedAt + (termMilliseconds * validFraction),
		};
		state.dueAt = startedAt + (termMilliseconds * renewalFraction);
	}

	/** Schedules the next read: at the usual interval, or when an apparently expired lease may be acquired. */
	#scheduleRead(duty: string, lease?: Lease): void {
		const {clock, wallClock, random, pollMilliseconds} = this.#options;
		const state = this.#states.get(duty)!;
		const usual = clock() + (pollMilliseconds() * (1 - pollJitter + (2 * pollJitter * random())));
		if (lease && wallClock() >= lease.expiresAt) {
			state.dueAt = state.unchangedSince + (lease.termMilliseconds * (1 + (acquireJitter * random())));
			return;
		}

		state.dueAt = state.held ? clock() : usual;
	}
}
