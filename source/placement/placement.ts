/**
 * Chooses the endpoint of each attempt.
 *
 * @module
 */
import {xoroshiro128plus, unsafeUniformIntDistribution} from 'pure-rand';
import {type CacheEvents, type EngineLoad} from '../endpoints/mod.ts';
import {CircuitBreakers, type CircuitBreakersOptions} from './circuit-breakers.ts';
import {EndpointLimits, type EndpointLimitsOptions} from './endpoint-limits.ts';
import {EndpointReports} from './endpoint-reports.ts';
import {prefixKey} from './prefix-key.ts';
import {hashKey, highestWeightMembers, rendezvousWeight} from './rendezvous.ts';

/** Criteria for the choice of an endpoint. */
export type PlacementRequest = {
	service: string;
	/** Prompt, whose prefix may be cached at an endpoint; absent for plain calls. */
	prompt?: string;
	/** Model version that the endpoint must have loaded. Default any. */
	version?: string;
	/** Number of tokens of the request. Default 0. */
	tokens?: number;
	/** Endpoints that must not be chosen. */
	exclude: ReadonlySet<string>;
	/** Monotonic time, in milliseconds. */
	now: number;
	/** Random number from 0 to 1. */
	random: number;
};

/** An endpoint that can be chosen. */
export type PlacementEndpoint = {address: string};

/** Options of {@linkcode Placement}. */
export type PlacementOptions = {
	/** Returns the endpoints of a service that accept new work; must return the same array until they change. */
	endpointsOf: (service: string) => readonly PlacementEndpoint[];
	/** Rendezvous key of this router's subset of endpoints: its host name. Default empty. */
	subsetKey?: string;
	/** Number of endpoints of each service that this router uses. Default 48. */
	endpointsPerService?: number;
	/** Returns the initial token limit of one endpoint of a service. Default unlimited. */
	initialLimitOf?: (service: string) => number;
	/** Options of the adaptive limits. */
	limits?: EndpointLimitsOptions;
	/** Options of the circuit breakers. */
	circuits?: CircuitBreakersOptions;
};

/** Number of endpoints sampled at random, of which the least loaded is chosen. */
const candidateCount = 3;

/** Multiple of the mean load above which the owner of a prefix is skipped. */
const affinityBound = 1.25;

/** Multiple of its limit up to which an endpoint is given work that is already admitted, such as a continuation. */
const admittedHeadroom = 2;

/** Minimum time between two attempts at an endpoint when all circuits of its service are open, in milliseconds. */
const lastResortIntervalMilliseconds = 500;

type Subset = {all: readonly PlacementEndpoint[]; selected: readonly PlacementEndpoint[]};

/**
 * Tracks the work that this router has in progress at each endpoint, and chooses endpoints for new work.
 *
 * @example
 * ```ts
 * const address = placement.choose({service, prompt, exclude, now, random});
 * ```
 */
export class Placement {
	readonly #options: Required<Omit<PlacementOptions, 'limits' | 'circuits'>>;
	readonly #outstanding = new Map<string, number>();
	readonly #serviceOf = new Map<string, string>();
	readonly #subsets = new Map<string, Subset>();
	readonly #circuitBreakers: CircuitBreakers;
	readonly #limits: EndpointLimits;
	readonly #reports = new EndpointReports();

	constructor(options: PlacementOptions) {
		this.#options = {
			subsetKey: '', endpointsPerService: 48, initialLimitOf: () => Number.MAX_SAFE_INTEGER, ...options,
		};
		this.#circuitBreakers = new CircuitBreakers(options.circuits);
		this.#limits = new EndpointLimits(options.limits);
	}

	/** Chooses an endpoint; returns `undefined` if all are excluded, failing, full or lack the version. */
	choose(request: PlacementRequest): string | undefined {
		const {selected, all} = this.#subset(request.service);
		const address = this.#chooseAmong(selected, request)
			?? (all === selected ? undefined : this.#chooseAmong(all, request))
			?? this.#lastResort(all, request);
		if (address !== undefined) {
			this.#circuitBreakers.recordChoice(address, request.now);
		}

		return address;
	}

	/** Returns all endpoints of a service that accept new work. */
	endpointsOf(service: string): readonly PlacementEndpoint[] {
		return this.#subset(service).all;
	}

	/** Returns the endpoints of a service that this router uses. */
	subsetOf(service: string): readonly PlacementEndpoint[] {
		return this.#subset(service).selected;
	}

	/** Returns the maximum number of tokens in progress at a service for this router; an endpoint due for a probe counts as one token, to admit one request. */
	capacityOf(service: string, now: number): number {
		let capacity = 0;
		for (const {address} of this.subsetOf(service)) {
			if (!this.#circuitBreakers.isOpen(address)) {
				capacity += this.limitOf(address, service);
			} else if (this.#circuitBreakers.allows(address, now)) {
				capacity += 1;
			}
		}

		return capacity;
	}

	/** Returns the maximum number of tokens that this router may have in progress at an endpoint. */
	limitOf(address: string, service: string): number {
		return this.#limits.limitOf(address, this.#options.initialLimitOf(service));
	}

	/** Returns the number of tokens that this router has in progress at an endpoint. */
	outstanding(address: string): number {
		return this.#outstanding.get(address) ?? 0;
	}

	/** Records the start of work at an endpoint. */
	recordStart(address: string, tokens: number): void {
		this.#outstanding.set(address, this.outstanding(address) + tokens);
	}

	/** Records the end of work at an endpoint. */
	recordEnd(address: string, tokens: number): void {
		const left = this.outstanding(address) - tokens;
		this.#outstanding.set(address, left);
		if (left <= 0) {
			this.#outstanding.delete(address);
		}
	}

	/** Records that an endpoint answered. */
	recordSuccess(address: string, _now: number): void {
		this.#circuitBreakers.recordSuccess(address);
	}

	/** Records that an endpoint did not answer. */
	recordFailure(address: string, now: number): void {
		this.#circuitBreakers.recordFailure(address, now);
	}

	/** Records a measured time to first token, in milliseconds, which adjusts the limit of the endpoint. */
	recordFirstToken(address: string, milliseconds: number, now: number): void {
		const service = this.#serviceOf.get(address);
		if (service !== undefined) {
			this.#limits.recordFirstToken({
				address, milliseconds, now, outstanding: this.outstanding(address), initialLimit: this.#options.initialLimitOf(service),
			});
		}
	}

	/** Records the load reported by an endpoint. */
	recordLoad(address: string, load: EngineLoad, now: number): void {
		this.#reports.recordLoad(address, load, this.outstanding(address), now);
		this.#circuitBreakers.recordReachable(address, now);
	}

	/** Records cache events published by an endpoint. */
	recordCacheEvents(address: string, events: CacheEvents, now: number): void {
		this.#reports.recordCacheEvents(address, events, now);
	}

	/** Returns the sequence number of the last cache event received from an endpoint. */
	lastSequence(address: string): number {
		return this.#reports.lastSequence(address);
	}

	#subset(service: string): Subset {
		const all = this.#options.endpointsOf(service);
		const known = this.#subsets.get(service);
		if (known?.all === all) {
			return known;
		}

		const subset = {all, selected: highestWeightMembers(all, this.#options.subsetKey, this.#options.endpointsPerService)};
		this.#subsets.set(service, subset);
		this.#forgetUnlisted(service, all);
		return subset;
	}

	#forgetUnlisted(service: string, all: readonly PlacementEndpoint[]): void {
		const listed = new Set(all.map(({address}) => address));
		for (const [address, owner] of this.#serviceOf) {
			if (owner === service && !listed.has(address)) {
				this.#serviceOf.delete(address);
			}
		}

		for (const address of listed) {
			this.#serviceOf.set(address, service);
		}

		const known = new Set(this.#serviceOf.keys());
		this.#circuitBreakers.keepOnly(known);
		this.#limits.keepOnly(known);
		this.#reports.keepOnly(known);
	}

	#chooseAmong(endpoints: readonly PlacementEndpoint[], request: PlacementRequest): string | undefined {
		const candidates = endpoints.filter(({address}) => this.#usable(address, request) && this.#hasRoom(address, request));
		if (candidates.length === 0) {
			return undefined;
		}

		return this.#prefixOwner(candidates, request) ?? this.#leastLoaded(candidates, request);
	}

	#usable(address: string, {exclude, version, now}: PlacementRequest): boolean {
		return !exclude.has(address)
			&& this.#circuitBreakers.allows(address, now)
			&& !(version !== undefined && this.#reports.lacksVersion(address, version, now));
	}

	#hasRoom(address: string, {service, tokens = 0}: PlacementRequest): boolean {
		const outstanding = this.outstanding(address);
		return outstanding === 0 || outstanding + tokens <= admittedHeadroom * this.limitOf(address, service);
	}

	/** Returns the owner of the prompt's prefix: an endpoint that has cached it, else the one with the highest rendezvous weight; skips endpoints loaded far above the mean. */
	#prefixOwner(candidates: readonly PlacementEndpoint[], {prompt, tokens = 0, now}: PlacementRequest): string | undefined {
		if (prompt === undefined) {
			return undefined;
		}

		const total = candidates.reduce((sum, {address}) => sum + this.#load(address, now), 0);
		const bound = (affinityBound * total / candidates.length) + tokens;
		const prefix = prefixKey(prompt);
		const key = hashKey(prefix);
		let owner: {address: string; weight: number} | undefined;
		for (const {address} of candidates) {
			if (this.#load(address, now) > bound) {
				continue;
			}

			const holds = this.#reports.holdsPrefix(address, prefix, now);
			const weight = rendezvousWeight(key, address) + (holds ? 2 ** 32 : 0);
			if (owner === undefined || weight > owner.weight) {
				owner = {address, weight};
			}
		}

		return owner?.address;
	}

	#leastLoaded(candidates: readonly PlacementEndpoint[], {now, random}: PlacementRequest): string | undefined {
		const generator = xoroshiro128plus(Math.floor(random * (2 ** 32)));
		let best: {address: string; load: number} | undefined;
		for (let drawn = 0; drawn < candidateCount; drawn += 1) {
			const {address} = candidates[unsafeUniformIntDistribution(0, candidates.length - 1, generator)]!;
			const load = this.#load(address, now);
			if (best === undefined || load < best.load) {
				best = {address, load};
			}
		}

		return best?.address;
	}

	/** Returns the least recently tried endpoint when all circuits are open, at a limited rate. */
	#lastResort(endpoints: readonly PlacementEndpoint[], request: PlacementRequest): string | undefined {
		let oldest: string | undefined;
		for (const {address} of endpoints) {
			if (request.exclude.has(address)) {
				continue;
			}

			if (!this.#circuitBreakers.isOpen(address)) {
				return undefined;
			}

			if (oldest === undefined || this.#circuitBreakers.lastTriedAt(address) < this.#circuitBreakers.lastTriedAt(oldest)) {
				oldest = address;
			}
		}

		return oldest !== undefined && request.now - this.#circuitBreakers.lastTriedAt(oldest) >= lastResortIntervalMilliseconds ? oldest : undefined;
	}

	#load(address: string, now: number): number {
		return this.outstanding(address) + this.#reports.othersTokens(address, now);
	}
}
