/**
 * Ends of endpoints under requests that the store has not taken yet.
 *
 * @module
 */
import {type EndpointIncarnation} from '../beliefs/mod.ts';

/** The end of an endpoint under a request. */
export type UnsavedEnd = {digest: string; service: string; life: EndpointIncarnation};

type Unsaved = {end: UnsavedEnd; seenAt: number; isOwn: boolean};

/** Time for which an end that the store has not taken counts, in milliseconds. */
const countedMilliseconds = 60_000;

/** Ends told to another gateway at once, while the store is away. */
const mostTold = 100;

/**
 * Keeps the ends that this gateway saw, which it has to save, and those that it heard of.
 *
 * @example
 * ```ts
 * unsaved.add(end, {isOwn: true, now});
 * unsaved.ofRequest(digest);
 * ```
 */
export class UnsavedEnds {
	readonly #ends = new Map<string, Unsaved>();

	/** Adds an end; returns whether it was news. */
	add(end: UnsavedEnd, {isOwn, now}: {isOwn: boolean; now: number}): boolean {
		const name = nameOfEnd(end);
		if (this.#ends.has(name)) {
			return false;
		}

		this.#ends.set(name, {end, seenAt: now, isOwn});
		return true;
	}

	/** Records that the store has taken an end. */
	saved(end: UnsavedEnd): void {
		this.#ends.delete(nameOfEnd(end));
	}

	/** Drops the ends of a request that the store tells of: those heard of, or all of them where it was cleared. */
	drop(digest: string, {isCleared}: {isCleared: boolean}): void {
		for (const [name, {end, isOwn}] of this.#ends) {
			if (end.digest === digest && (isCleared || !isOwn)) {
				this.#ends.delete(name);
			}
		}
	}

	/** Drops the ends that count no more; returns their requests. */
	expire(now: number): Set<string> {
		const expired = new Set<string>();
		for (const [name, {end: {digest}, seenAt}] of this.#ends) {
			if (now - seenAt >= countedMilliseconds) {
				this.#ends.delete(name);
				expired.add(digest);
			}
		}

		return expired;
	}

	/** The ends of one request. */
	ofRequest(digest: string): UnsavedEnd[] {
		return this.#ends.size === 0 ? [] : [...this.#ends.values()].filter(({end}) => end.digest === digest).map(({end}) => end);
	}

	/** The ends that this gateway has to save. */
	own(): UnsavedEnd[] {
		return [...this.#ends.values()].filter(({isOwn}) => isOwn).map(({end}) => end);
	}

	/** The newest ends, for other gateways. */
	newest(): UnsavedEnd[] {
		return [...this.#ends.values()].slice(-mostTold).map(({end}) => end);
	}
}

/** Name of an end, the same for all attempts that saw it. */
export function nameOfEnd({digest, life: {id, startedAt}}: UnsavedEnd): string {
	return JSON.stringify([digest, id, startedAt]);
}
