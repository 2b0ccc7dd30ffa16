/**
 * Chooses the endpoint of each attempt.
 *
 * @module
 */
import {xoroshiro128plus, unsafeUniformIntDistribution} from 'pure-rand';
import {type CacheEvents, type EngineLoad} from '../endpoints/mod.ts';
import {Circuits, type CircuitsOptions} from './circuits.ts';
import {EndpointLimits, type EndpointLimitsOptions} from './endpoint-limits.ts';
import {EndpointReports} from './endpoint-reports.ts';
import {prefixKey} from './prefix-key.ts';
import {hashKey, highestMembers, rendezvousWeight} from './rendezvous.ts';

/** What a choice takes into account. */
export type PlacementRequest = {
	service: string;
	/** Prompt whose cached prefix is worth going to; absent for plain calls. */
	prompt?: string;
	/** Model version that the endpoint must have loaded. Default any. */
	version?: string;
	/** Tokens of the work. Default 0. */
	tokens?: number;
	/** Endpoints that must not be chosen. */
	exclude: ReadonlySet<string>;
	/** Monotonic time, in milliseconds. */
	now: number;
	/** Random number from 0 to 1. */
	random: number;
};

/** An endpoint as placement knows it. */
export type PlacementEndpoint = {address: string};

/** Options of {@linkcode Placement}. */
export type PlacementOptions = {
	/** Returns a service's endpoints that take new work; the same array until they change. */
	endpointsOf: (service: string) => readonly PlacementEndpoint[];
	/** Key of this router's subset of endpoints, its host name. Default empty. */
	subsetKey?: string;
	/** Endpoints of each service that this router uses. Default 48. */
	endpointsPerService?: number;
	/** Returns the tokens that one endpoint of a service takes at the start. Default without limit. */
	startTokensOf?: (service: string) => number;
	/** Options of the adaptive limits. */
	limits?: EndpointLimitsOptions;
	/** Options of the circuits. */
	circuits?: CircuitsOptions;
};

/** Endpoints drawn at random, of which the least loaded is chosen. */
const candidateCount = 3;

/** Load over the mean at which the owner of a prefix is passed over. */
const affinityBound = 1.25;

/** Multiple of its limit up to which an endpoint takes work that was already admitted, such as a continuation. */
const admittedHeadroom = 2;

/** Time between two tries of an endpoint when every circuit of its service is open, in milliseconds. */
const lastResortMilliseconds = 500;

type Subset = {all: readonly PlacementEndpoint[]; chosen: readonly PlacementEndpoint[]};

/**
 * Counts the work that this router has at each endpoint and chooses among them.
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
	readonly #circuits: Circuits;
	readonly #limits: EndpointLimits;
	readonly #reports = new EndpointReports();

	constructor(options: PlacementOptions) {
		this.#options = {
			subsetKey: '', endpointsPerService: 48, startTokensOf: () => Number.MAX_SAFE_INTEGER, ...options,
		};
		this.#circuits = new Circuits(options.circuits);
		this.#limits = new EndpointLimits(options.limits);
	}

	/** Chooses an endpoint, or none when all are excluded, leaving, failing or full. */
	choose(request: PlacementRequest): string | undefined {
		const {chosen, all} = this.#subset(request.service);
		const address = this.#chooseAmong(chosen, request)
			?? (all === chosen ? undefined : this.#chooseAmong(all, request))
			?? this.#lastResort(all, request);
		if (address !== undefined) {
			this.#circuits.chosen(address, request.now);
		}

		return address;
	}

	/** Endpoints of a service that this router uses. */
	subsetOf(service: string): readonly PlacementEndpoint[] {
		return this.#subset(service).chosen;
	}

	/** Tokens that this router may have in progress at a service; an endpoint due for a probe counts for one, to let one request in. */
	capacityOf(service: string, now: number): number {
		let capacity = 0;
		for (const {address} of this.subsetOf(service)) {
			if (!this.#circuits.isOpen(address)) {
				capacity += this.limitOf(address, service);
			} else if (this.#circuits.allows(address, now)) {
				capacity += 1;
			}
		}

		return capacity;
	}

	/** Tokens that this router may have in progress at an endpoint. */
	limitOf(address: string, service: string): number {
		return this.#limits.limitOf(address, this.#options.startTokensOf(service));
	}

	/** Tokens that this router has in progress at an endpoint. */
	outstanding(address: string): number {
		return this.#outstanding.get(address) ?? 0;
	}

	/** Counts work that starts at an endpoint. */
	started(address: string, tokens: number): void {
		this.#outstanding.set(address, this.outstanding(address) + tokens);
	}

	/** Counts work that has ended there. */
	finished(address: string, tokens: number): void {
		const left = this.outstanding(address) - tokens;
		this.#outstanding.set(address, left);
		if (left <= 0) {
			this.#outstanding.delete(address);
		}
	}

	/** Records that an endpoint answered. */
	succeeded(address: string, _now: number): void {
		this.#circuits.succeeded(address);
	}

	/** Records that an endpoint did not answer. */
	failed(address: string, now: number): void {
		this.#circuits.failed(address, now);
	}

	/** Learns from a measured time to first token, in milliseconds. */
	firstToken(address: string, milliseconds: number, now: number): void {
		const service = this.#serviceOf.get(address);
		if (service !== undefined) {
			this.#limits.firstToken({
				address, milliseconds, now, outstanding: this.outstanding(address), startTokens: this.#options.startTokensOf(service),
			});
		}
	}

	/** Takes a load that an endpoint reported. */
	takeLoad(address: string, load: EngineLoad, now: number): void {
		this.#reports.takeLoad(address, load, this.outstanding(address), now);
		this.#circuits.reachable(address, now);
	}

	/** Takes cache events that an endpoint published. */
	takeCacheEvents(address: string, events: CacheEvents, now: number): void {
		this.#reports.takeCacheEvents(address, events, now);
	}

	/** Sequence number of the last cache event taken from an endpoint. */
	lastSequence(address: string): number {
		return this.#reports.lastSequence(address);
	}

	#subset(service: string): Subset {
		const all = this.#options.endpointsOf(service);
		const known = this.#subsets.get(service);
		if (known?.all === all) {
			return known;
		}

		const subset = {all, chosen: highestMembers(all, this.#options.subsetKey, this.#options.endpointsPerService)};
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
		this.#circuits.keepOnly(known);
		this.#limits.keepOnly(known);
		this.#reports.keepOnly(known);
	}

	#chooseAmong(endpoints: readonly PlacementEndpoint[], request: PlacementRequest): string | undefined {
		const usable = endpoints.filter(({address}) => this.#usable(address, request) && this.#hasRoom(address, request));
		if (usable.length === 0) {
			return undefined;
		}

		return this.#prefixOwner(usable, request) ?? this.#leastLoaded(usable, request);
	}

	#usable(address: string, {exclude, version, now}: PlacementRequest): boolean {
		return !exclude.has(address)
			&& this.#circuits.allows(address, now)
			&& !(version !== undefined && this.#reports.lacksVersion(address, version, now));
	}

	#hasRoom(address: string, {service, tokens = 0}: PlacementRequest): boolean {
		const outstanding = this.outstanding(address);
		return outstanding === 0 || outstanding + tokens <= admittedHeadroom * this.limitOf(address, service);
	}

	/** Finds the endpoint that holds or would hold the prompt's prefix and is not loaded far above the mean. */
	#prefixOwner(usable: readonly PlacementEndpoint[], {prompt, tokens = 0, now}: PlacementRequest): string | undefined {
		if (prompt === undefined) {
			return undefined;
		}

		const total = usable.reduce((sum, {address}) => sum + this.#load(address, now), 0);
		const bound = (affinityBound * total / usable.length) + tokens;
		const prefix = prefixKey(prompt);
		const key = hashKey(prefix);
		let owner: {address: string; weight: number} | undefined;
		for (const {address} of usable) {
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

	#leastLoaded(usable: readonly PlacementEndpoint[], {now, random}: PlacementRequest): string | undefined {
		const generator = xoroshiro128plus(Math.floor(random * (2 ** 32)));
		let best: {address: string; load: number} | undefined;
		for (let drawn = 0; drawn < candidateCount; drawn += 1) {
			const {address} = usable[unsafeUniformIntDistribution(0, usable.length - 1, generator)]!;
			const load = this.#load(address, now);
			if (best === undefined || load < best.load) {
				best = {address, load};
			}
		}

		return best?.address;
	}

	/** Tries, now and then, the endpoint that has waited longest when every circuit is open. */
	#lastResort(endpoints: readonly PlacementEndpoint[], request: PlacementRequest): string | undefined {
		let oldest: string | undefined;
		for (const {address} of endpoints) {
			if (request.exclude.has(address)) {
				continue;
			}

			if (!this.#circuits.isOpen(address)) {
				return undefined;
			}

			if (oldest === undefined || this.#circuits.triedAt(address) < this.#circuits.triedAt(oldest)) {
				oldest = address;
			}
		}

		return oldest !== undefined && request.now - this.#circuits.triedAt(oldest) >= lastResortMilliseconds ? oldest : undefined;
	}

	#load(address: string, now: number): number {
		return this.outstanding(address) + this.#reports.othersTokens(address, now);
	}
}
