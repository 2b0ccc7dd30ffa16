/**
 * What endpoints report late and with gaps: load, loaded versions and cache events. Every report ages out.
 *
 * @module
 */
import {type CacheEvents, type EngineLoad} from '../endpoints/mod.ts';

/** Time after which a reported load no longer counts, in milliseconds. */
const loadAgeMilliseconds = 10_000;

/** Time after which reported versions no longer count, in milliseconds. */
const versionsAgeMilliseconds = 30_000;

/** Time after which a cache event no longer counts, in milliseconds. */
const cacheAgeMilliseconds = 120_000;

/** Prefixes remembered for each endpoint. */
const prefixesPerEndpoint = 256;

type Report = {
	othersTokens: number;
	versions: ReadonlySet<string>;
	receivedAt: number;
};

type CachedPrefixes = {lastSequence: number; prefixes: Map<string, number>};

/**
 * Holds the last report of each endpoint.
 *
 * @example
 * ```ts
 * reports.takeLoad(address, load, ownTokens, now);
 * reports.othersTokens(address, now);
 * ```
 */
export class EndpointReports {
	readonly #reports = new Map<string, Report>();
	readonly #cached = new Map<string, CachedPrefixes>();

	/**
	 * Takes a load.
	 *
	 * @param address Endpoint that reported it.
	 * @param load The report.
	 * @param ownTokens Tokens that this router has in progress there.
	 * @param now Monotonic time, in milliseconds.
	 */
	takeLoad(address: string, load: EngineLoad, ownTokens: number, now: number): void {
		this.#reports.set(address, {
			othersTokens: Math.max(0, load.tokens_in_progress - ownTokens),
			versions: new Set(load.models.map(({version}) => version)),
			receivedAt: now,
		});
	}

	/** Takes cache events. */
	takeCacheEvents(address: string, {events}: CacheEvents, now: number): void {
		const cached = this.#cached.get(address) ?? {lastSequence: 0, prefixes: new Map<string, number>()};
		this.#cached.set(address, cached);
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

	/** Sequence number of the last cache event taken. */
	lastSequence(address: string): number {
		return this.#cached.get(address)?.lastSequence ?? 0;
	}

	/** Tokens that others have in progress at an endpoint; the estimate fades with the report's age. */
	othersTokens(address: string, now: number): number {
		const report = this.#reports.get(address);
		if (!report) {
			return 0;
		}

		const freshness = Math.max(0, 1 - ((now - report.receivedAt) / loadAgeMilliseconds));
		return report.othersTokens * freshness;
	}

	/** Whether a recent report says that an endpoint has not loaded a version. */
	lacksVersion(address: string, version: string, now: number): boolean {
		const report = this.#reports.get(address);
		return report !== undefined && now - report.receivedAt < versionsAgeMilliseconds && !report.versions.has(version);
	}

	/** Whether a recent event says that an endpoint holds a prefix. */
	holdsPrefix(address: string, prefix: string, now: number): boolean {
		const storedAt = this.#cached.get(address)?.prefixes.get(prefix);
		return storedAt !== undefined && now - storedAt < cacheAgeMilliseconds;
	}

	/** Forgets endpoints that are no longer listed. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const reports of [this.#reports, this.#cached]) {
			for (const address of reports.keys()) {
				if (!addresses.has(address)) {
					reports.delete(address);
				}
			}
		}
	}
}
