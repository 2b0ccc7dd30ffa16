/**
 * Load, loaded versions and cache events reported by endpoints. Reports may be late or missing, so each one expires.
 *
 * @module
 */
import {type CacheEvents, type EngineLoad} from '../endpoints/mod.ts';

/** Age at which a reported load expires, in milliseconds. */
const maximumLoadAgeMilliseconds = 10_000;

/** Age at which reported versions expire, in milliseconds. */
const maximumVersionsAgeMilliseconds = 30_000;

/** Age at which a cache event expires, in milliseconds. */
const maximumCacheEventAgeMilliseconds = 120_000;

/** Maximum number of prefixes stored for each endpoint. */
const prefixesPerEndpoint = 256;

type Report = {
	othersTokens: number;
	versions: ReadonlySet<string>;
	receivedAt: number;
};

type CachedPrefixes = {lastSequence: number; prefixes: Map<string, number>};

/**
 * Stores the latest reports of each endpoint.
 *
 * @example
 * ```ts
 * reports.recordLoad(address, load, ownTokens, now);
 * reports.othersTokens(address, now);
 * ```
 */
export class EndpointReports {
	readonly #reports = new Map<string, Report>();
	readonly #cachedPrefixes = new Map<string, CachedPrefixes>();

	/**
	 * Records a load report.
	 *
	 * @param address Address of the endpoint that sent the report.
	 * @param load The report.
	 * @param ownTokens Tokens that this router has in progress at the endpoint.
	 * @param now Monotonic time, in milliseconds.
	 */
	recordLoad(address: string, load: EngineLoad, ownTokens: number, now: number): void {
		this.#reports.set(address, {
			othersTokens: Math.max(0, load.tokens_in_progress - ownTokens),
			versions: new Set(load.models.map(({version}) => version)),
			receivedAt: now,
		});
	}

	/** Records cache events. */
	recordCacheEvents(address: string, {events}: CacheEvents, now: number): void {
		const cached = this.#cachedPrefixes.get(address) ?? {lastSequence: 0, prefixes: new Map<string, number>()};
		this.#cachedPrefixes.set(address, cached);
		for (const {sequence, kind, prefix} of events) {
			cached.lastSequence = Math.max(cached.lastSequence, sequence);
			cached.prefixes.delete(prefix);
			if (kind === 'stored') {
				cached.prefixes.set(prefix, now);
			}
		}

		for (const prefix of cached.prefixes.keys()) {
			if (cached.prefixes.size <= prefixesPerEndpoint) {
				break;
			}

			cached.prefixes.delete(prefix);
		}
	}

	/** Returns the sequence number of the last cache event received from an endpoint. */
	lastSequence(address: string): number {
		return this.#cachedPrefixes.get(address)?.lastSequence ?? 0;
	}

	/** Returns the estimated tokens that other routers have in progress at an endpoint; decreases linearly with the age of the report. */
	othersTokens(address: string, now: number): number {
		const report = this.#reports.get(address);
		if (!report) {
			return 0;
		}

		const freshness = Math.max(0, 1 - ((now - report.receivedAt) / maximumLoadAgeMilliseconds));
		return report.othersTokens * freshness;
	}

	/** Whether a recent report shows that an endpoint has not loaded a version. */
	lacksVersion(address: string, version: string, now: number): boolean {
		const report = this.#reports.get(address);
		return report !== undefined && now - report.receivedAt < maximumVersionsAgeMilliseconds && !report.versions.has(version);
	}

	/** Whether a recent event shows that an endpoint has cached a prefix. */
	holdsPrefix(address: string, prefix: string, now: number): boolean {
		const storedAt = this.#cachedPrefixes.get(address)?.prefixes.get(prefix);
		return storedAt !== undefined && now - storedAt < maximumCacheEventAgeMilliseconds;
	}

	/** Removes the reports of endpoints that are no longer listed. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const reports of [this.#reports, this.#cachedPrefixes]) {
			for (const address of reports.keys()) {
				if (!addresses.has(address)) {
					reports.delete(address);
				}
			}
		}
	}
}
