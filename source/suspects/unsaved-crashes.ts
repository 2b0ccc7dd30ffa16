/**
 * Endpoint crashes that are not saved in the store yet.
 *
 * @module
 */
import {type EndpointIncarnation} from '../registry/mod.ts';
import {type SubjectKind} from './suspicion.ts';

/** Crash of an endpoint while it ran a request, as evidence against one subject. */
export type UnsavedCrash = {
	digest: string;
	kind: SubjectKind;
	service: string;
	life: EndpointIncarnation;
	/** Time from when a request with the part was last served to the crash, in milliseconds; absent if none is known. */
	servedMillisecondsBefore?: number;
};

type TrackedCrash = {crash: UnsavedCrash; seenAt: number; isOwn: boolean};

/** Time for which an unsaved crash counts, in milliseconds. */
const timeToLiveMilliseconds = 60_000;

/** Maximum number of crashes to send to another gateway at once, while the store is unavailable. */
const maximumShared = 100;

/**
 * Tracks the crashes that this gateway observed and has to save, and those that other gateways reported.
 *
 * @example
 * ```ts
 * unsaved.add(crash, {isOwn: true, now});
 * unsaved.ofRequest(digest);
 * ```
 */
export class UnsavedCrashes {
	readonly #crashes = new Map<string, TrackedCrash>();

	/** Adds a crash; returns whether it was new. */
	add(crash: UnsavedCrash, {isOwn, now}: {isOwn: boolean; now: number}): boolean {
		const key = crashKey(crash);
		if (this.#crashes.has(key)) {
			return false;
		}

		this.#crashes.set(key, {crash, seenAt: now, isOwn});
		return true;
	}

	/** Removes a crash that was saved. */
	remove(crash: UnsavedCrash): void {
		this.#crashes.delete(crashKey(crash));
	}

	/** Removes the crashes of a request whose row was received from the store: those reported by others, or all of them if it was cleared. */
	removeReported(digest: string, {isCleared}: {isCleared: boolean}): void {
		for (const [key, {crash, isOwn}] of this.#crashes) {
			if (crash.digest === digest && (isCleared || !isOwn)) {
				this.#crashes.delete(key);
			}
		}
	}

	/** Removes expired crashes; returns the digests of their requests. */
	expire(now: number): Set<string> {
		const expired = new Set<string>();
		for (const [key, {crash: {digest}, seenAt}] of this.#crashes) {
			if (now - seenAt >= timeToLiveMilliseconds) {
				this.#crashes.delete(key);
				expired.add(digest);
			}
		}

		return expired;
	}

	/** Returns the crashes of one request. */
	ofRequest(digest: string): UnsavedCrash[] {
		return this.#crashes.size === 0 ? [] : [...this.#crashes.values()].filter(({crash}) => crash.digest === digest).map(({crash}) => crash);
	}

	/** Returns the crashes that this gateway has to save. */
	own(): UnsavedCrash[] {
		return [...this.#crashes.values()].filter(({isOwn}) => isOwn).map(({crash}) => crash);
	}

	/** Returns the newest crashes, to send to other gateways. */
	newest(): UnsavedCrash[] {
		return [...this.#crashes.values()].slice(-maximumShared).map(({crash}) => crash);
	}
}

/** Returns the key of a crash, which is the same for all attempts that observed it. */
export function crashKey({digest, life: {id, startedAt}}: UnsavedCrash): string {
	return JSON.stringify([digest, id, startedAt]);
}
