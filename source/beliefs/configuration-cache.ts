/**
 * Caches the newest routing configuration and the time at which it was last confirmed to be current.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {RouteTable, type ConfigurationSnapshot, type RoutingConfiguration} from '../routing/mod.ts';

/** Called with the route table of each new version. */
export type ConfigurationListener = (table: RouteTable) => void;

/**
 * Holds the newest configuration version; an older version never replaces a newer one.
 *
 * @example
 * ```ts
 * cache.update(configuration);
 * cache.confirm(requestedAt);
 * const {table, ageMilliseconds} = cache.snapshot(readClock());
 * ```
 */
export class ConfigurationCache {
	#table: RouteTable | undefined;
	#confirmedAt: ClockReading | undefined;
	readonly #listeners = new Set<ConfigurationListener>();

	/** Route table of the newest version; undefined until one has been received. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/**
	 * Stores a configuration and notifies the listeners, unless its version is not newer than the cached one.
	 *
	 * @param configuration The received configuration.
	 * @returns Whether it was newer.
	 */
	update(configuration: RoutingConfiguration): boolean {
		if (this.#table && configuration.version <= this.#table.version) {
			return false;
		}

		this.#table = new RouteTable(configuration);
		for (const listener of this.#listeners) {
			listener(this.#table);
		}

		return true;
	}

	/**
	 * Records that the store held no newer version at the given time.
	 *
	 * @param readAt A time no later than the store's read, such as the time at which the request was sent.
	 */
	confirm(readAt: ClockReading): void {
		if (!this.#confirmedAt || readAt.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = readAt;
		}
	}

	/** Returns the current route table and the time since it was last confirmed, in milliseconds; infinite if it never was. */
	snapshot(now: ClockReading): ConfigurationSnapshot {
		return {table: this.#table, ageMilliseconds: this.#confirmedAt ? ageOf(this.#confirmedAt, now) : Number.POSITIVE_INFINITY};
	}

	/** Registers a listener that is called with each new version. */
	onChange(listener: ConfigurationListener): void {
		this.#listeners.add(listener);
	}
}
