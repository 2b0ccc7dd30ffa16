/**
 * Keeps the limits that endpoints name for all gateways together.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type ClockReading} from '../clocks/mod.ts';
import {type EndpointIncarnation, type IncarnationState} from '../registry/mod.ts';
import {type RowCache} from '../stored-rows/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type PermitHolder, type NamedLimit, type PublishedLimit} from './endpoint-limit.ts';
import {LimitLeaseKeeper} from './limit-lease-keeper.ts';
import {type LimitLeaseTable} from './limit-lease-table.ts';
import {LimitObserver} from './limit-observer.ts';
import {type LimitedEndpoint} from './limited-endpoint.ts';
import {LimitedEndpoints} from './limited-endpoints.ts';
import {PermitClient, type PermitOutcome} from './permit-client.ts';
import {type LimitObservation, type PermitReply, type PermitRequest} from './permit-message.ts';

/** Options of {@linkcode EndpointLimiter}. */
export type EndpointLimiterOptions = {
	leases: Pick<LimitLeaseTable, 'acquire' | 'remove' | 'release'>;
	endpoints: {stateOf(incarnation: EndpointIncarnation): IncarnationState};
	/** This gateway. */
	self: PermitHolder;
	/** Sends a request to the gateway at an address; returns undefined if it does not answer in time. */
	askHolder: (address: string, request: PermitRequest) => Promise<PermitReply | undefined>;
	/** Returns whether no process listens at an address. */
	hasEnded: (address: string) => Promise<boolean>;
	/** Returns the approximate number of live gateways; no guarantee depends on it. */
	countGateways: () => number;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
	/** Counts a decision for metrics. */
	count: (outcome: PermitOutcome) => void;
};

/** A request that may need a permit: its importance, 0 is the highest, its name in logs, and whether it still needs one after a wait. */
export type LimitedRequest = {importance: number; requestName: string; isNeeded?: () => boolean};

/** Interval of the background work, in milliseconds. */
const maintenanceMilliseconds = 250;

/** Interval of looking for rows of endpoints that no longer exist, in milliseconds. */
const sweepMilliseconds = 30_000;

/** Requests for permits of one endpoint that all gateways together make after refusals, per second. */
const requestsPerSecondAfterRefusals = 100;

/** Reply of a gateway that does not grant the permits of an endpoint. */
const notHeld: PermitReply = {
	holds: false, granted: false, requestsPerSecond: 0, askAgainMilliseconds: 0, returnInMilliseconds: 0,
};

/**
 * Decides which requests may be sent to limited endpoints.
 *
 * One gateway grants the permits of a limited endpoint to all, itself included; a lease in the store says which one, so no gateway has to
 * know how many others there are. A gateway without a permit does not send: that holds for one that has just started, was suspended or
 * cannot reach the others.
 *
 * @example
 * ```ts
 * limiter.observe(endpoint, terms.limit, sentAt);
 * const granted = await limiter.acquire(endpoint, {importance: 1, requestName});
 * ```
 */
export class EndpointLimiter {
	readonly #options: EndpointLimiterOptions;
	readonly #limitedEndpoints: LimitedEndpoints;
	readonly #observer: LimitObserver;
	readonly #client: PermitClient;
	readonly #keeper: LimitLeaseKeeper;

	constructor(options: EndpointLimiterOptions) {
		const {readClock} = options;
		const clock = () => readClock().steady;
		const seekHolder = (limited: LimitedEndpoint) => {
			void this.#keeper.seekHolder(limited);
		};

		this.#options = options;
		this.#limitedEndpoints = new LimitedEndpoints({
			...options,
			clock,
			requestPermit: async (limited, importance) => this.#client.requestPermit(limited, importance),
			isHeld: limited => limited.held?.isValid(readClock()) ?? false,
		});
		this.#keeper = new LimitLeaseKeeper({
			...options,
			limitedEndpoints: this.#limitedEndpoints,
			spreadMilliseconds: () => this.#spreadMilliseconds(),
		});
		this.#client = new PermitClient({
			...options, answer: request => this.answer(request), onUnknownHolder: seekHolder, onLifted: (limited, liftedAt) => {
				this.#limitedEndpoints.recordLifted(limited, liftedAt);
			},
		});
		this.#observer = new LimitObserver({
			...options,
			clock,
			limitedEndpoints: this.#limitedEndpoints,
			onLimited: seekHolder,
			onChange: (limited, change) => {
				void this.#client.report(limited, change);
			},
		});
	}

	/** Published limits by id of the endpoint, as the store and other gateways report them. */
	get published(): RowCache<PublishedLimit> {
		return this.#limitedEndpoints.published;
	}

	/** Records what a response states about the endpoint's limit; see {@linkcode LimitObserver.observe}. */
	observe(endpoint: EndpointIncarnation, named: NamedLimit, sentAt: number): void {
		this.#observer.observe(endpoint, named, sentAt);
	}

	/** Returns the endpoints that are not known to lack a permit for a request of the given importance. */
	usable<Endpoint extends EndpointIncarnation>(endpoints: readonly Endpoint[], importance: number, now: number): readonly Endpoint[] {
		return this.#limitedEndpoints.usable(endpoints, importance, now);
	}

	/** Returns the ids of the endpoints that are known to lack a permit for a request of the given importance. */
	refused(importance: number, now: number): string[] {
		return this.#limitedEndpoints.refused(importance, now);
	}

	/** Returns the time after which a caller may retry that was rejected since all these endpoints lack permits, in milliseconds. */
	returnDelay(endpoints: readonly EndpointIncarnation[], now: number): number | undefined {
		return this.#limitedEndpoints.returnDelay(endpoints, now);
	}

	/**
	 * Requests a permit to send one request to an endpoint.
	 *
	 * @param endpoint The endpoint.
	 * @param request The request.
	 * @returns Whether it may be sent now; always true for an endpoint without a limit.
	 */
	async acquire(endpoint: EndpointIncarnation, {importance, requestName, isNeeded}: LimitedRequest): Promise<boolean> {
		const limited = this.#limitedEndpoints.lookUp(endpoint);
		if (!limited) {
			return true;
		}

		const granted = !limited.isRefused(importance, this.#now().steady) && await limited.queue.take(importance, isNeeded);
		this.#options.logger.debug(granted ? 'request has a permit' : 'request has no permit', {request: requestName, endpoint: endpoint.id});
		return granted;
	}

	/**
	 * Answers a request of any gateway for a permit of an endpoint.
	 *
	 * @param request The request.
	 */
	answer({endpoint, importance, change}: PermitRequest): PermitReply {
		const limited = this.#limitedEndpoints.lookUp(endpoint);
		const now = this.#now();
		if (!limited?.held?.isValid(now)) {
			return this.#replyWithoutLease(endpoint, now);
		}

		const {held} = limited;
		if (change) {
			this.#applyChange(limited, change, now);
		}

		const decision = importance === undefined ? undefined : held.take(importance, now);
		return {
			holds: true,
			granted: decision?.granted ?? false,
			requestsPerSecond: held.requestsPerSecond,
			askAgainMilliseconds: decision && !decision.granted ? Math.max(decision.availableInMilliseconds, this.#spreadMilliseconds()) : 0,
			returnInMilliseconds: decision?.returnInMilliseconds ?? 0,
		};
	}

	/** Renews leases, and removes the rows of endpoints that are gone, until the signal aborts. */
	async maintain(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		let sweepAt = this.#now().steady + (sweepMilliseconds * this.#options.random());
		while (await pause(maintenanceMilliseconds, signal)) {
			const now = this.#now();
			for (const limited of this.#limitedEndpoints.all()) {
				this.#maintain(limited, now);
			}

			if (now.steady >= sweepAt) {
				sweepAt = now.steady + sweepMilliseconds;
				this.#sweep();
			}

			await this.#keeper.removePending();
		}

		return ok();
	}

	/** Gives up the leases of this gateway before it stops. */
	async stop(): Promise<void> {
		await this.#keeper.stop();
	}

	/** Renews the lease of an endpoint, or forgets an endpoint that no longer exists. */
	#maintain(limited: LimitedEndpoint, now: ClockReading): void {
		if (!this.#isGone(limited.endpoint)) {
			this.#keeper.maintain(limited, now);
			return;
		}

		this.#limitedEndpoints.untrack(limited);
		if (limited.held) {
			this.#keeper.remove(limited.endpoint);
		}
	}

	/** Applies a change at the gateway that grants the permits. */
	#applyChange(limited: LimitedEndpoint, change: LimitObservation, now: ClockReading): void {
		const effect = limited.held!.applyChange(change, now);
		if (effect === 'none') {
			return;
		}

		this.#options.logger.info('limit of an endpoint has changed', {endpoint: limited.endpoint.id, effect, requestsPerSecond: change.requestsPerSecond});
		if (effect === 'lifted') {
			this.#limitedEndpoints.recordLifted(limited, now.steady - change.ageMilliseconds);
			this.#keeper.remove(limited.endpoint);
		} else {
			limited.requestsPerSecond = limited.held!.requestsPerSecond;
		}
	}

	#replyWithoutLease(endpoint: EndpointIncarnation, now: ClockReading): PermitReply {
		const liftedAt = this.#limitedEndpoints.liftedAt(endpoint);
		return {...notHeld, liftedMillisecondsAgo: liftedAt === undefined ? undefined : now.steady - liftedAt};
	}

	/** Removes rows of endpoints that no longer exist; one gateway on average does so for each row. */
	#sweep(): void {
		const {countGateways, random} = this.#options;
		for (const [id, {startedAt}] of this.published.entries()) {
			if (this.#isGone({id, startedAt}) && random() < 1 / countGateways()) {
				this.#keeper.remove({id, startedAt});
			}
		}
	}

	#isGone(endpoint: EndpointIncarnation): boolean {
		const state = this.#options.endpoints.stateOf(endpoint);
		return state === 'removed' || state === 'replaced';
	}

	/** Time over which all gateways spread what they do at the same occasion, in milliseconds. */
	#spreadMilliseconds(): number {
		return this.#options.countGateways() * 1000 / requestsPerSecondAfterRefusals;
	}

	#now(): ClockReading {
		return this.#options.readClock();
	}
}
