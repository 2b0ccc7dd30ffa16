/**
 * The newest era that the store has named, and for how long it is known.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';

/** Largest accepted era; eras and versions together fit into the safe integers. */
const maximumEra = 9000;

/** Decodes the era that a response of the store names; 0 if it names none. */
export function decodeEra(headers: IncomingHttpHeaders): number {
	const era = Number(headers['store-era']);
	return Number.isInteger(era) && era >= 0 && era <= maximumEra ? era : 0;
}

/**
 * Tracks the era of the store, which rises each time the store comes back from an older copy.
 *
 * @example
 * ```ts
 * era.record(2, now);
 * era.age(now + 500); // 500
 * ```
 */
export class StoreEra {
	#newest = 0;
	#recordedAt = 0;

	/** Largest recorded era; 0 if there is none. */
	get newest(): number {
		return this.#newest;
	}

	/** Records the era that a response names; an earlier one than the newest is ignored. */
	record(era: number, now: number): void {
		if (era > this.#newest) {
			this.#newest = era;
			this.#recordedAt = now;
		}
	}

	/** Returns the time since the newest era was first seen, in milliseconds. */
	age(now: number): number {
		return now - this.#recordedAt;
	}
}
