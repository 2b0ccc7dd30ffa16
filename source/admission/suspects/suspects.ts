/**
 * Which requests are suspected of killing endpoints, and which are convicted.
 *
 * The deaths that a router sees count for itself only: routers that cannot reach the table or each other each need the
 * evidence of their own, so that every side of a partition may lose two endpoints to one request.
 *
 * @module
 */
import {
	isConvincing, loneOf, standing, type Suspect,
} from './_suspect.ts';
import {
	isNear, type Death, type EndpointPlace, type Run,
} from './deaths.ts';

/** Options of {@linkcode Suspects}. */
export type SuspectsOptions = {
	/** Returns where a listed endpoint runs; nothing for one that is leaving or no longer listed, whose end accuses nobody. */
	placeOf: (address: string) => EndpointPlace | undefined;
	/** Called with each request convicted here. Default does nothing. */
	onConvicted?: (digest: string, expiresAt: number) => void;
};

/** Tokens after which a request counts as harmless at its endpoint. */
export const harmlessTokens = 16;

/** Time between a death and the look at the endpoints beside it, in milliseconds. */
export const lookMilliseconds = 500;

/** Time between the second death and the conviction, in which a common loss can still show, in milliseconds. */
export const convictionMilliseconds = 1300;

/** Time for which a death is held against a request, in milliseconds. */
const suspicionMilliseconds = 60_000;

/** Time for which a convicted request is refused, in milliseconds. */
const convictedMilliseconds = 3_600_000;

/**
 * Counts deaths of endpoints against what ran there.
 *
 * @example
 * ```ts
 * const run = suspects.start(digest, endpoint);
 * suspects.died(run, now);
 * suspects.isConvicted(digest, now);
 * ```
 */
export class Suspects {
	readonly #options: Required<SuspectsOptions>;
	readonly #runs = new Map<string, Set<Run>>();
	readonly #suspects = new Map<string, Suspect>();
	readonly #convicted = new Map<string, number>();

	constructor(options: SuspectsOptions) {
		this.#options = {onConvicted: () => undefined, ...options};
	}

	/** Records that a request starts at an endpoint. */
	start(digest: string, endpoint: string): Run {
		const run: Run = {
			digest, endpoint, tokens: 0, dead: false,
		};
		const runs = this.#runs.get(endpoint) ?? new Set<Run>();
		runs.add(run);
		this.#runs.set(endpoint, runs);
		return run;
	}

	/** Records a token; a suspect that has produced enough of them gives its endpoint back to others, which this returns. */
	progressed(run: Run): boolean {
		run.tokens += 1;
		if (run.tokens === harmlessTokens) {
			const suspect = this.#suspects.get(run.digest);
			if (suspect) {
				suspect.released = true;
				suspect.passed = new Set(suspect.deaths);
				return true;
			}
		}

		return false;
	}

	/** Records that a request has left its endpoint. */
	end(run: Run): void {
		const runs = this.#runs.get(run.endpoint);
		runs?.delete(run);
		if (runs?.size === 0) {
			this.#runs.delete(run.endpoint);
		}
	}

	/**
	 * Records that an endpoint's process died while a request ran there; all that ran there become suspects.
	 *
	 * @param run The request that saw it.
	 * @param now Wall-clock time, in milliseconds.
	 * @returns The death, unless it was known or accuses nobody; whoever has looked at its neighbours sets `common`.
	 */
	died(run: Run, now: number): Death | undefined {
		if (run.dead) {
			return undefined;
		}

		this.#expire(now);
		const victims = [...this.#runs.get(run.endpoint) ?? []];
		this.#runs.delete(run.endpoint);
		for (const victim of victims) {
			victim.dead = true;
		}

		const place = this.#options.placeOf(run.endpoint);
		if (!place) {
			return undefined;
		}

		const death: Death = {endpoint: run.endpoint, place, common: false};
		this.#accuse(death, victims, now);
		return death;
	}

	/**
	 * Returns the endpoints beside a death by whose life a common loss is told: on the same host, and in the same zone.
	 *
	 * Endpoints that died under the same requests are left out, since they may be lost for the same reason.
	 *
	 * @param death The death.
	 * @param endpoints Endpoints of the service.
	 */
	witnesses(death: Death, endpoints: readonly string[]): {host: string[]; zone: string[]} {
		const fallen = new Set([death.endpoint]);
		for (const {deaths} of this.#suspects.values()) {
			if (deaths.includes(death)) {
				for (const {endpoint} of deaths) {
					fallen.add(endpoint);
				}
			}
		}

		const others = endpoints.filter(endpoint => !fallen.has(endpoint));
		return {
			host: others.filter(endpoint => this.#options.placeOf(endpoint)?.host === death.place.host),
			zone: others.filter(endpoint => this.#options.placeOf(endpoint)?.availabilityZone === death.place.availabilityZone),
		};
	}

	/** Whether a death is held against a request. */
	isSuspect(digest: string, now: number): boolean {
		const suspect = this.#suspects.get(digest);
		return suspect !== undefined && suspect.expiresAt > now && standing(suspect).length > 0;
	}

	/** Whether the death of an endpoint is held against a request already, so that a cursor from before shows nothing new. */
	hasKilled(digest: string, endpoint: string): boolean {
		return this.#suspects.get(digest)?.deaths.some(death => death.endpoint === endpoint) ?? false;
	}

	/** Whether a request is refused for good. */
	isConvicted(digest: string, now: number): boolean {
		this.#settle(digest, now);
		return (this.#convicted.get(digest) ?? 0) > now;
	}

	/** Milliseconds until a pending conviction is settled; nothing when there is none. */
	millisecondsUntilSettled(digest: string, now: number): number | undefined {
		const convictAt = this.#suspects.get(digest)?.convictAt;
		return convictAt === undefined ? undefined : Math.max(0, convictAt - now);
	}

	/** Takes a conviction of another router. */
	hear(digest: string, expiresAt: number): void {
		this.#convicted.set(digest, Math.max(expiresAt, this.#convicted.get(digest) ?? 0));
	}

	/**
	 * Returns the endpoints that a request must not be placed on, the most careful set first.
	 *
	 * An ordinary request keeps away from endpoints where a suspect is on trial; a suspect keeps away from other suspects
	 * always and, where it can, from requests that are not known to be harmless and from the places of earlier deaths.
	 *
	 * @param digest The request.
	 * @param endpointsOf Returns the endpoints of its service.
	 * @param now Wall-clock time, in milliseconds.
	 */
	avoidance(digest: string, endpointsOf: () => readonly string[], now: number): Array<ReadonlySet<string>> {
		if (this.#suspects.size === 0) {
			return [new Set()];
		}

		const endpoints = endpointsOf();
		const tried = new Set(endpoints.filter(endpoint => this.#othersOnTrial(endpoint, digest, now)));
		if (!this.isSuspect(digest, now)) {
			return [tried, new Set()];
		}

		const deaths = standing(this.#suspects.get(digest)!);
		const fallen = new Set([...tried, ...deaths.map(({endpoint}) => endpoint)]);
		const unproven = new Set([...fallen, ...endpoints.filter(endpoint => this.#hasUnproven(endpoint, digest))]);
		const near = new Set([...unproven, ...endpoints.filter(endpoint => deaths.some(({place}) => isNear(place, this.#options.placeOf(endpoint))))]);
		return [near, unproven, fallen, tried];
	}

	#othersOnTrial(endpoint: string, digest: string, now: number): boolean {
		for (const run of this.#runs.get(endpoint) ?? []) {
			if (run.digest !== digest && this.isSuspect(run.digest, now) && !(this.#suspects.get(run.digest)!.released && run.tokens >= harmlessTokens)) {
				return true;
			}
		}

		return false;
	}

	#hasUnproven(endpoint: string, digest: string): boolean {
		return [...this.#runs.get(endpoint) ?? []].some(run => run.digest !== digest && run.tokens < harmlessTokens);
	}

	#accuse(death: Death, victims: Run[], now: number): void {
		const lone = loneOf(victims.filter(({digest}) => this.isSuspect(digest, now)));
		const harmless = victims.every(({digest, tokens}) => digest === lone || tokens >= harmlessTokens);
		for (const {digest} of victims) {
			const suspect = this.#suspects.get(digest) ?? {
				deaths: [], passed: new Set(), expiresAt: 0, released: false, convictAt: undefined,
			};
			if (!suspect.deaths.includes(death)) {
				suspect.deaths.push(death);
			}

			suspect.expiresAt = now + suspicionMilliseconds;
			suspect.released = false;
			this.#suspects.set(digest, suspect);
			if (digest === lone && harmless && isConvincing(suspect)) {
				suspect.convictAt ??= now + convictionMilliseconds;
			}
		}
	}

	/** Convicts a request whose second death still stands, and clears those who were merely there. */
	#settle(digest: string, now: number): void {
		const suspect = this.#suspects.get(digest);
		if (suspect?.convictAt === undefined || now < suspect.convictAt) {
			return;
		}

		suspect.convictAt = undefined;
		const deaths = standing(suspect);
		if (!isConvincing(suspect)) {
			return;
		}

		const expiresAt = now + convictedMilliseconds;
		this.#convicted.set(digest, expiresAt);
		this.#suspects.delete(digest);
		this.#clear(deaths);
		this.#options.onConvicted(digest, expiresAt);
	}

	/** Clears the others of the last death, and of the first one too once they have gone on since; until then either may have caused it. */
	#clear(explained: readonly Death[]): void {
		const last = explained.at(-1);
		for (const [digest, suspect] of this.#suspects) {
			if (suspect.convictAt === undefined) {
				suspect.deaths = suspect.deaths.filter(death => death !== last && !(suspect.released && explained.includes(death)));
			}

			if (suspect.deaths.length === 0) {
				this.#suspects.delete(digest);
			}
		}
	}

	#expire(now: number): void {
		for (const [digest, {expiresAt, convictAt}] of this.#suspects) {
			if (expiresAt <= now && convictAt === undefined) {
				this.#suspects.delete(digest);
			}
		}

		for (const [digest, expiresAt] of this.#convicted) {
			if (expiresAt <= now) {
				this.#convicted.delete(digest);
			}
		}
	}
}
