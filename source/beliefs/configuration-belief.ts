/**
 * What this router knows of the configuration, and how old that knowledge is.
 *
 * @module
 */
import {RouteTable, type ConfigurationKnowledge, type RoutingConfiguration} from '../routing/mod.ts';
import {ageOf, type ClockReading} from './clock.ts';

/** Receives each new version. */
export type ConfigurationListener = (table: RouteTable) => void;

/**
 * Holds the newest version; versions never fall.
 *
 * @example
 * ```ts
 * belief.learn(configuration);
 * belief.confirm(askedAt);
 * const {table, ageMilliseconds} = belief.knowledge(readClock());
 * ```
 */
export class ConfigurationBelief {
	#table: RouteTable | undefined;
	#confirmedAt: ClockReading | undefined;
	readonly #listeners = new Set<ConfigurationListener>();

	/** The newest version known. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/**
	 * Takes a version, unless a newer one is known.
	 *
	 * @param configuration The version.
	 * @returns Whether it is news.
	 */
	learn(configuration: RoutingConfiguration): boolean {
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
	 * Records that the store held nothing newer at a time.
	 *
	 * @param at A time not after the store looked, such as the time at which it was asked.
	 */
	confirm(at: ClockReading): void {
		if (!this.#confirmedAt || at.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = at;
		}
	}

	/** What is known at a time. */
	knowledge(now: ClockReading): ConfigurationKnowledge {
		return {table: this.#table, ageMilliseconds: this.#confirmedAt ? ageOf(this.#confirmedAt, now) : Number.POSITIVE_INFINITY};
	}

	/** Calls back with each new version. */
	onChange(listener: ConfigurationListener): void {
		this.#listeners.add(listener);
	}
}
