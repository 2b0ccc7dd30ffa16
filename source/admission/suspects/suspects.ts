/**
 * Tracks which requests are suspected of crashing endpoints, and which are blocked.
 *
 * Each router counts only the crashes that it observes. Routers that can reach neither the table nor each other each need
 * their own evidence, so one request may crash two endpoints on every side of a network partition.
 *
 * @module
 */
import {
	hasEnoughEvidence, onlyDigestOf, countedCrashes, type Suspect,
} from './_suspect.ts';
import {
	sharesFailureDomain, type Crash, type EndpointLocation, type Run,
} from './crashes.ts';

/** Options of {@linkcode Suspects}. */
export type SuspectsOptions = {
	/** Returns the location of a listed endpoint; nothing for an endpoint that is leaving or no longer listed, whose exit counts against no request. */
	locationOf: (address: string) => EndpointLocation | undefined;
	/** Called with each request that this router blocks. Default does nothing. */
	onBlocked?: (digest: string, expiresAt: number) => void;
};

/** Number of tokens after which a run is considered harmless to its endpoint. */
export const harmlessTokens = 16;

/** Delay between a crash and the check of the neighboring endpoints, in milliseconds. */
export const neighborCheckDelayMilliseconds = 500;

/** Delay between sufficient evidence and blocking, in milliseconds; leaves time to detect a correlated failure. */
export const blockDelayMilliseconds = 1300;

/** Time after the last crash for which a request stays suspect, in milliseconds. */
const suspicionMilliseconds = 60_000;

/** Time for which a request stays blocked, in milliseconds. */
const blockMilliseconds = 3_600_000;

/**
 * Counts crashes of endpoints against the requests that ran on them.
 *
 * @example
 * ```ts
 * const run = suspects.startRun(digest, endpoint);
 * suspects.recordCrash(run, now);
 * suspects.isBlocked(digest, now);
 * ```
 */
export class Suspects {
	readonly #options: Required<SuspectsOptions>;
	readonly #runs = new Map<string, Set<Run>>();
	readonly #suspects = new Map<string, Suspect>();
	readonly #blocked = new Map<string, number>();

	constructor(options: SuspectsOptions) {
		this.#options = {onBlocked: () => undefined, ...options};
	}

	/** Records the start of a request on an endpoint. */
	startRun(digest: string, endpoint: string): Run {
		const run: Run = {
			digest, endpoint, tokens: 0, crashed: false,
		};
		const runs = this.#runs.get(endpoint) ?? new Set<Run>();
		runs.add(run);
		this.#runs.set(endpoint, runs);
		return run;
	}

	/** Records a token; returns whether a suspect has now produced enough tokens to share its endpoint with other requests. */
	recordToken(run: Run): boolean {
		run.tokens += 1;
		if (run.tokens === harmlessTokens) {
			const suspect = this.#suspects.get(run.digest);
			if (suspect) {
				suspect.released = true;
				suspect.progressedPast = new Set(suspect.crashes);
				return true;
			}
		}

		return false;
	}

	/** Records the end of a run. */
	endRun(run: Run): void {
		const runs = this.#runs.get(run.endpoint);
		runs?.delete(run);
		if (runs?.size === 0) {
			this.#runs.delete(run.endpoint);
		}
	}

	/**
	 * Records that an endpoint's process crashed during a run; all requests running on it become suspects.
	 *
	 * @param run The run that observed the crash.
	 * @param now Wall-clock time, in milliseconds.
	 * @returns The crash, unless it is already known or counts against no request; the caller checks the neighbors and sets `correlated`.
	 */
	recordCrash(run: Run, now: number): Crash | undefined {
		if (run.crashed) {
			return undefined;
		}

		this.#expire(now);
		const affected = [...this.#runs.get(run.endpoint) ?? []];
		this.#runs.delete(run.endpoint);
		for (const affectedRun of affected) {
			affectedRun.crashed = true;
		}

		const location = this.#options.locationOf(run.endpoint);
		if (!location) {
			return undefined;
		}

		const crash: Crash = {endpoint: run.endpoint, location, correlated: false};
		this.#suspectRuns(crash, affected, now);
		return crash;
	}

	/**
	 * Returns the endpoints on the same host and in the same availability zone, whose state shows whether a crash is a correlated failure.
	 *
	 * Endpoints that crashed under the same requests are left out, since these requests may have crashed them.
	 *
	 * @param crash The crash.
	 * @param endpoints Endpoints of the service.
	 */
	neighbors(crash: Crash, endpoints: readonly string[]): {host: string[]; zone: string[]} {
		const crashed = new Set([crash.endpoint]);
		for (const {crashes} of this.#suspects.values()) {
			if (crashes.includes(crash)) {
				for (const {endpoint} of crashes) {
					crashed.add(endpoint);
				}
			}
		}

		const others = endpoints.filter(endpoint => !crashed.has(endpoint));
		return {
			host: others.filter(endpoint => this.#options.locationOf(endpoint)?.host === crash.location.host),
			zone: others.filter(endpoint => this.#options.locationOf(endpoint)?.availabilityZone === crash.location.availabilityZone),
		};
	}

	/** Whether any crash is counted against a request. */
	isSuspect(digest: string, now: number): boolean {
		const suspect = this.#suspects.get(digest);
		return suspect !== undefined && suspect.expiresAt > now && countedCrashes(suspect).length > 0;
	}

	/** Whether a crash of an endpoint has already been attributed to a request, so that an older cursor that names the endpoint is no new evidence. */
	hasCrashed(digest: string, endpoint: string): boolean {
		return this.#suspects.get(digest)?.crashes.some(crash => crash.endpoint === endpoint) ?? false;
	}

	/** Whether a request is blocked; carries out a decision that is due. */
	isBlocked(digest: string, now: number): boolean {
		this.#decide(digest, now);
		return (this.#blocked.get(digest) ?? 0) > now;
	}

	/** Returns the time until a pending decision to block a request, in milliseconds; nothing if none is pending. */
	millisecondsUntilDecision(digest: string, now: number): number | undefined {
		const blockAt = this.#suspects.get(digest)?.blockAt;
		return blockAt === undefined ? undefined : Math.max(0, blockAt - now);
	}

	/** Records that another router has blocked a request. */
	receiveBlock(digest: string, expiresAt: number): void {
		this.#blocked.set(digest, Math.max(expiresAt, this.#blocked.get(digest) ?? 0));
	}

	/**
	 * Returns the sets of endpoints that a request must not be placed on, the strictest set first.
	 *
	 * An ordinary request avoids endpoints that run a suspect in isolation. A suspect always avoids endpoints of other suspects
	 * and, where possible, endpoints that run requests not yet known to be harmless, and the endpoints, hosts and availability
	 * zones of its earlier crashes.
	 *
	 * @param digest The request.
	 * @param endpointsOf Returns the endpoints of its service.
	 * @param now Wall-clock time, in milliseconds.
	 */
	exclusions(digest: string, endpointsOf: () => readonly string[], now: number): Array<ReadonlySet<string>> {
		if (this.#suspects.size === 0) {
			return [new Set()];
		}

		const endpoints = endpointsOf();
		const isolated = new Set(endpoints.filter(endpoint => this.#runsOtherSuspect(endpoint, digest, now)));
		if (!this.isSuspect(digest, now)) {
			return [isolated, new Set()];
		}

		const crashes = countedCrashes(this.#suspects.get(digest)!);
		const crashed = new Set([...isolated, ...crashes.map(({endpoint}) => endpoint)]);
		const unproven = new Set([...crashed, ...endpoints.filter(endpoint => this.#runsUnproven(endpoint, digest))]);
		const near = new Set([...unproven, ...endpoints.filter(endpoint => crashes.some(({location}) => sharesFailureDomain(location, this.#options.locationOf(endpoint))))]);
		return [near, unproven, crashed, isolated];
	}

	#runsOtherSuspect(endpoint: string, digest: string, now: number): boolean {
		for (const run of this.#runs.get(endpoint) ?? []) {
			if (run.digest !== digest && this.isSuspect(run.digest, now) && !(this.#suspects.get(run.digest)!.released && run.tokens >= harmlessTokens)) {
				return true;
			}
		}

		return false;
	}

	#runsUnproven(endpoint: string, digest: string): boolean {
		return [...this.#runs.get(endpoint) ?? []].some(run => run.digest !== digest && run.tokens < harmlessTokens);
	}

	#suspectRuns(crash: Crash, affected: Run[], now: number): void {
		const onlySuspect = onlyDigestOf(affected.filter(({digest}) => this.isSuspect(digest, now)));
		const harmless = affected.every(({digest, tokens}) => digest === onlySuspect || tokens >= harmlessTokens);
		for (const {digest} of affected) {
			const suspect = this.#suspects.get(digest) ?? {
				crashes: [], progressedPast: new Set(), expiresAt: 0, released: false, blockAt: undefined,
			};
			if (!suspect.crashes.includes(crash)) {
				suspect.crashes.push(crash);
			}

			suspect.expiresAt = now + suspicionMilliseconds;
			suspect.released = false;
			this.#suspects.set(digest, suspect);
			if (digest === onlySuspect && harmless && hasEnoughEvidence(suspect)) {
				suspect.blockAt ??= now + blockDelayMilliseconds;
			}
		}
	}

	/** Blocks a request whose decision is due if the evidence still suffices, and clears the requests that ran on the same endpoints. */
	#decide(digest: string, now: number): void {
		const suspect = this.#suspects.get(digest);
		if (suspect?.blockAt === undefined || now < suspect.blockAt) {
			return;
		}

		suspect.blockAt = undefined;
		const crashes = countedCrashes(suspect);
		if (!hasEnoughEvidence(suspect)) {
			return;
		}

		const expiresAt = now + blockMilliseconds;
		this.#blocked.set(digest, expiresAt);
		this.#suspects.delete(digest);
		this.#clearOthers(crashes);
		this.#options.onBlocked(digest, expiresAt);
	}

	/** Clears the other requests of the last crash, and of the earlier ones if they have progressed since; otherwise they may still have caused those. */
	#clearOthers(explained: readonly Crash[]): void {
		const last = explained.at(-1);
		for (const [digest, suspect] of this.#suspects) {
			if (suspect.blockAt === undefined) {
				suspect.crashes = suspect.crashes.filter(crash => crash !== last && !(suspect.released && explained.includes(crash)));
			}

			if (suspect.crashes.length === 0) {
				this.#suspects.delete(digest);
			}
		}
	}

	#expire(now: number): void {
		for (const [digest, {expiresAt, blockAt}] of this.#suspects) {
			if (expiresAt <= now && blockAt === undefined) {
				this.#suspects.delete(digest);
			}
		}

		for (const [digest, expiresAt] of this.#blocked) {
			if (expiresAt <= now) {
				this.#blocked.delete(digest);
			}
		}
	}
}
