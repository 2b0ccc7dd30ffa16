/**
 * Acquires and renews the leases of limited endpoints in the background.
 *
 * @module
 */
import {type ClockReading} from '../clocks/mod.ts';
import {type EndpointIncarnation} from '../registry/mod.ts';
import {handleKind} from '../supervision/handle-kind.ts';
import {pause} from '../supervision/pause.ts';
import {type Logger} from '../telemetry/mod.ts';
import {isSameHolder, type PermitHolder} from './endpoint-limit.ts';
import {HeldLimit} from './held-limit.ts';
import {leaseMilliseconds, type LeaseOutcome, type LimitLeaseTable} from './limit-lease-table.ts';
import {type LimitedEndpoint} from './limited-endpoint.ts';
import {type LimitedEndpoints} from './limited-endpoints.ts';

/** Options of {@linkcode LimitLeaseKeeper}. */
export type LimitLeaseKeeperOptions = {
	leases: Pick<LimitLeaseTable, 'acquire' | 'remove' | 'release'>;
	/** This gateway. */
	self: PermitHolder;
	/** Returns whether no process listens at an address, which proves that the holder there has ended. */
	hasEnded: (address: string) => Promise<boolean>;
	limitedEndpoints: Pick<LimitedEndpoints, 'all' | 'isTracked' | 'untrack'>;
	/** Returns the time over which all gateways spread what they do at the same occasion, in milliseconds. */
	spreadMilliseconds: () => number;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
};

/** Time after which a lease is renewed, in milliseconds. */
const renewalMilliseconds = leaseMilliseconds / 3;

/** Time after which a holder that does not answer is looked up in the store again, in milliseconds. */
const maximumLookupMilliseconds = 3000;

/** Initial and maximum delay after a failed call to the store, in milliseconds. */
const initialRetryMilliseconds = 500;
const maximumRetryMilliseconds = 4000;

/**
 * Finds a holder for each limited endpoint that has none, and renews the leases of this gateway.
 *
 * @example
 * ```ts
 * void keeper.seekHolder(limited);
 * keeper.maintain(limited, now);
 * ```
 */
export class LimitLeaseKeeper {
	readonly #options: LimitLeaseKeeperOptions;
	/** Endpoints whose rows must be removed, by id. */
	readonly #removals = new Map<string, EndpointIncarnation>();
	#isStopped = false;

	constructor(options: LimitLeaseKeeperOptions) {
		this.#options = options;
	}

	/**
	 * Looks for the gateway that grants the permits of an endpoint after the known one did not; becomes that gateway if there is none.
	 *
	 * Gateways wait for different times, so that one of them acquires the lease and the others hear of it without a call to the store.
	 */
	async seekHolder(limited: LimitedEndpoint): Promise<void> {
		const {limitedEndpoints, spreadMilliseconds, random, readClock} = this.#options;
		if (limited.isAcquiring || this.#isStopped) {
			return;
		}

		limited.isAcquiring = true;
		const unresponsive = limited.holder;
		try {
			await pause(spreadMilliseconds() * random());
			if (limitedEndpoints.isTracked(limited) && limited.holder === unresponsive && readClock().steady >= limited.lookupAt) {
				await this.#lookUp(limited, unresponsive);
			}
		} finally {
			limited.isAcquiring = false;
		}
	}

	/** Renews the lease of an endpoint or publishes a changed limit, if due; drops a lease that has expired. */
	maintain(limited: LimitedEndpoint, now: ClockReading): void {
		const {held} = limited;
		if (!held || limited.isAcquiring || this.#isStopped) {
			return;
		}

		if (!held.isValid(now)) {
			this.#drop(limited, 'the lease has expired');
		} else if ((held.isChanged || held.isRenewalDue(now, renewalMilliseconds)) && now.steady >= limited.lookupAt) {
			void this.#renew(limited, held);
		}
	}

	/** Removes the rows of an endpoint whose limit was lifted or that is gone. */
	remove(endpoint: EndpointIncarnation): void {
		this.#removals.set(endpoint.id, endpoint);
	}

	/** Retries the removal of rows that could not be removed yet. */
	async removePending(): Promise<void> {
		await Promise.all([...this.#removals].map(async ([id, endpoint]) => {
			const failure = await this.#options.leases.remove(endpoint);
			if (failure === undefined) {
				this.#removals.delete(id);
			} else {
				this.#options.logger.warn('rows of an endpoint limit could not be removed', {endpoint: id, reason: failure});
			}
		}));
	}

	/** Gives up the leases of this gateway, so that others can take over at once; acquires none from now on. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#options.limitedEndpoints.all().filter(({held}) => held).map(async limited => {
			limited.held = undefined;
			limited.holder = undefined;
			const failure = await this.#options.leases.release(limited.endpoint);
			if (failure !== undefined) {
				this.#options.logger.warn('lease of an endpoint limit could not be released', {endpoint: limited.endpoint.id, reason: failure});
			}
		}));
	}

	async #lookUp(limited: LimitedEndpoint, unresponsive: PermitHolder | undefined): Promise<void> {
		const {leases, hasEnded} = this.#options;
		const {endpoint, requestsPerSecond} = limited;
		// A removal that is pending belongs to an earlier limit of the endpoint.
		this.#removals.delete(endpoint.id);
		let outcome = await leases.acquire({endpoint, requestsPerSecond, publish: true});
		const isUnchanged = outcome.kind === 'other' && unresponsive !== undefined && isSameHolder(outcome.holder, unresponsive);
		if (isUnchanged && await hasEnded(unresponsive.peers)) {
			outcome = await leases.acquire({
				endpoint, requestsPerSecond, publish: true, endedHolder: unresponsive,
			});
		}

		this.#applyOutcome(limited, outcome);
	}

	async #renew(limited: LimitedEndpoint, held: HeldLimit): Promise<void> {
		limited.isAcquiring = true;
		const publish = held.isChanged;
		held.isChanged = false;
		const outcome = await this.#options.leases.acquire({
			endpoint: limited.endpoint, requestsPerSecond: held.requestsPerSecond, publish, isHeld: held.isValid(this.#options.readClock()),
		});
		limited.isAcquiring = false;
		held.isChanged ||= publish && outcome.kind !== 'held';
		this.#applyOutcome(limited, outcome);
	}

	#applyOutcome(limited: LimitedEndpoint, outcome: LeaseOutcome): void {
		const now = this.#options.readClock();
		handleKind(outcome, {
			held: ({since}) => {
				this.#hold(limited, since, now);
			},
			other: ({holder, remainingMilliseconds}) => {
				this.#drop(limited, 'another gateway has the lease');
				this.#follow(limited, holder, now.steady + this.#lookupDelay(remainingMilliseconds));
			},
			uncertain: ({remainingMilliseconds}) => {
				this.#waitForLost(limited, remainingMilliseconds, now);
			},
			replaced: () => {
				this.#options.limitedEndpoints.untrack(limited);
			},
			failed: ({reason}) => {
				this.#delayRetry(limited, reason, now);
			},
		});
	}

	#hold(limited: LimitedEndpoint, since: ClockReading, now: ClockReading): void {
		const {self, logger} = this.#options;
		limited.failures = 0;
		limited.lookupAt = Number.NEGATIVE_INFINITY;
		limited.holder = self;
		if (limited.held?.isValid(now)) {
			limited.held.renew(since);
			return;
		}

		limited.held = new HeldLimit({
			requestsPerSecond: limited.requestsPerSecond, since, namedAt: limited.namedAt, now,
		});
		limited.allow();
		logger.info('permits of a limited endpoint are granted here', {endpoint: limited.endpoint.id, requestsPerSecond: limited.requestsPerSecond});
	}

	/** Uses the holder that the store names; if it is the known one, which has not answered, it is looked up again only after some time. */
	#follow(limited: LimitedEndpoint, holder: PermitHolder, lookupAt: number): void {
		if (!limited.follow(holder)) {
			limited.lookupAt = lookupAt;
		}
	}

	/** Waits until a lease that the store has lost by coming back from an older copy cannot be in use any more. */
	#waitForLost(limited: LimitedEndpoint, remainingMilliseconds: number, now: ClockReading): void {
		limited.lookupAt = now.steady + this.#lookupDelay(remainingMilliseconds);
		this.#options.logger.warn('lease of an endpoint limit may have been lost by the store; it is acquired once it cannot be in use', {
			endpoint: limited.endpoint.id, remainingMilliseconds: Math.round(remainingMilliseconds),
		});
	}

	/** Returns the time until a lease is looked up again that another gateway has for some time, in milliseconds. */
	#lookupDelay(remainingMilliseconds: number): number {
		return Math.min(remainingMilliseconds, maximumLookupMilliseconds) * (0.5 + (this.#options.random() / 2));
	}

	#drop(limited: LimitedEndpoint, reason: string): void {
		if (limited.held) {
			limited.held = undefined;
			limited.holder = undefined;
			this.#options.logger.warn('permits of a limited endpoint are no longer granted here', {endpoint: limited.endpoint.id, reason});
		}
	}

	#delayRetry(limited: LimitedEndpoint, reason: string, now: ClockReading): void {
		const {logger, random} = this.#options;
		limited.failures += 1;
		const delayMilliseconds = Math.min(maximumRetryMilliseconds, initialRetryMilliseconds * (2 ** (limited.failures - 1))) * (0.5 + (random() / 2));
		limited.lookupAt = now.steady + delayMilliseconds;
		logger.warn('lease of an endpoint limit could not be acquired', {endpoint: limited.endpoint.id, reason, failures: limited.failures});
	}
}
