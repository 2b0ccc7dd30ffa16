/**
 * The limited endpoints that a gateway knows.
 *
 * @module
 */
import {RowCache} from '../stored-rows/mod.ts';
import {type EndpointIncarnation} from '../registry/mod.ts';
import {type PermitHolder, type PublishedLimit} from './endpoint-limit.ts';
import {leaseMilliseconds} from './limit-lease-table.ts';
import {LimitedEndpoint} from './limited-endpoint.ts';

/** What is known of a limit when an endpoint becomes a limited one. */
export type KnownLimit = {
	requestsPerSecond: number;
	/** Monotonic time at which this gateway learned of it, in milliseconds. */
	namedAt: number;
	holder: PermitHolder | undefined;
};

/** Options of {@linkcode LimitedEndpoints}. */
export type LimitedEndpointsOptions = {
	/** Requests a permit of a limited endpoint for a request of the given importance. */
	requestPermit: (limited: LimitedEndpoint, importance: number) => Promise<boolean>;
	/** Returns whether this gateway grants the permits of a limited endpoint now. */
	isHeld: (limited: LimitedEndpoint) => boolean;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
	random: () => number;
};

/** Shortest and longest time after which a rejected caller is asked to return, in milliseconds. */
const shortestReturnMilliseconds = 50;
const longestReturnMilliseconds = 8000;

/** Time for which a lifted limit is remembered, in milliseconds: until no gateway takes this one for the holder any more. */
const liftedMilliseconds = leaseMilliseconds;

/**
 * Tracks limited endpoints, which this gateway's own responses or the published limits show.
 *
 * @example
 * ```ts
 * const limited = limitedEndpoints.lookUp(endpoint);
 * ```
 */
export class LimitedEndpoints {
	/** Published limits by id of the endpoint, as the store and other gateways report them. */
	readonly published = new RowCache<PublishedLimit>();
	readonly #options: LimitedEndpointsOptions;
	readonly #limited = new Map<string, LimitedEndpoint>();
	/** Incarnations whose limit was lifted, and the monotonic time of it in milliseconds, by id of the endpoint. */
	readonly #lifted = new Map<string, {startedAt: number; at: number}>();

	constructor(options: LimitedEndpointsOptions) {
		this.#options = options;
		this.published.onChange((id, limit) => {
			this.#applyPublished(id, limit);
		});
	}

	/** Returns all limited endpoints. */
	all(): LimitedEndpoint[] {
		return [...this.#limited.values()];
	}

	/** Returns the state of an endpoint if this incarnation of it has a limit. */
	lookUp({id, startedAt}: EndpointIncarnation): LimitedEndpoint | undefined {
		const limited = this.#limited.get(id);
		return limited?.endpoint.startedAt === startedAt ? limited : undefined;
	}

	/** Starts to track a limited endpoint, in place of an earlier incarnation of it. */
	track(endpoint: EndpointIncarnation, known: KnownLimit): LimitedEndpoint {
		const limited: LimitedEndpoint = new LimitedEndpoint({endpoint, ...known, requestPermit: async importance => this.#options.requestPermit(limited, importance)});
		this.#limited.set(endpoint.id, limited);
		this.#lifted.delete(endpoint.id);
		return limited;
	}

	/** Stops tracking a limited endpoint. */
	untrack(limited: LimitedEndpoint): void {
		if (this.isTracked(limited)) {
			this.#limited.delete(limited.endpoint.id);
		}
	}

	/**
	 * Stops tracking an endpoint whose limit was lifted, and remembers that for the gateways that still ask for permits.
	 *
	 * @param limited The endpoint.
	 * @param at Monotonic time at which the limit was lifted, in milliseconds.
	 */
	recordLifted(limited: LimitedEndpoint, at: number): void {
		const {id, startedAt} = limited.endpoint;
		if (!this.isTracked(limited)) {
			return;
		}

		this.untrack(limited);
		this.#forgetLifted();
		this.#lifted.set(id, {startedAt, at});
	}

	/** Returns the monotonic time at which the limit of an endpoint was lifted, in milliseconds; undefined if that is not known. */
	liftedAt({id, startedAt}: EndpointIncarnation): number | undefined {
		const lifted = this.#lifted.get(id);
		return lifted?.startedAt === startedAt ? lifted.at : undefined;
	}

	/** Whether a limited endpoint is still tracked. */
	isTracked(limited: LimitedEndpoint): boolean {
		return this.#limited.get(limited.endpoint.id) === limited;
	}

	/**
	 * Returns the endpoints that are not known to lack a permit for a request.
	 *
	 * @param endpoints The endpoints.
	 * @param importance Importance of the request; 0 is the highest.
	 * @param now Monotonic time, in milliseconds.
	 */
	usable<Endpoint extends EndpointIncarnation>(endpoints: readonly Endpoint[], importance: number, now: number): readonly Endpoint[] {
		return this.#limited.size === 0 ? endpoints : endpoints.filter(endpoint => !this.lookUp(endpoint)?.isRefused(importance, now));
	}

	/** Returns the ids of the endpoints that are known to lack a permit for a request of the given importance. */
	refused(importance: number, now: number): string[] {
		return this.all().filter(limited => limited.isRefused(importance, now)).map(({endpoint}) => endpoint.id);
	}

	/**
	 * Returns the time after which a caller may retry that was rejected since all these endpoints lack permits; undefined if none of them is
	 * limited. Callers that are rejected together get different times.
	 *
	 * @param endpoints The endpoints.
	 * @param now Monotonic time, in milliseconds.
	 */
	returnDelay(endpoints: readonly EndpointIncarnation[], now: number): number | undefined {
		const limited = endpoints.flatMap(endpoint => this.lookUp(endpoint) ?? []);
		if (limited.length === 0) {
			return undefined;
		}

		const earliest = Math.max(shortestReturnMilliseconds, Math.min(...limited.map(({returnAt}) => returnAt)) - now);
		const requestsPerSecond = limited.reduce((sum, each) => sum + each.requestsPerSecond, 0);
		const spread = Math.max(earliest, 1000 / requestsPerSecond);
		return Math.min(longestReturnMilliseconds, earliest + (spread * this.#options.random()));
	}

	#applyPublished(id: string, limit: PublishedLimit | undefined): void {
		const limited = this.#limited.get(id);
		if (!limit) {
			this.#applyRemoval(limited);
		} else if (!limited || limited.endpoint.startedAt < limit.startedAt) {
			this.track({id, startedAt: limit.startedAt}, {requestsPerSecond: limit.requestsPerSecond, namedAt: this.#options.clock(), holder: limit.holder});
		} else if (limited.endpoint.startedAt === limit.startedAt && !this.#options.isHeld(limited)) {
			limited.follow(limit.holder);
			limited.requestsPerSecond = limit.requestsPerSecond;
		}
	}

	/** Applies the removal of a published limit; it belongs to an earlier limit if this gateway grants the permits. */
	#applyRemoval(limited: LimitedEndpoint | undefined): void {
		if (limited && !this.#options.isHeld(limited)) {
			this.untrack(limited);
		}
	}

	#forgetLifted(): void {
		const now = this.#options.clock();
		for (const [id, {at}] of this.#lifted) {
			if (now - at >= liftedMilliseconds) {
				this.#lifted.delete(id);
			}
		}
	}
}
