/**
 * Cache of the suspected requests that the store and other gateways report.
 *
 * @module
 */
import {isDeepStrictEqual} from 'node:util';
import {eraOf} from '../stored-rows/mod.ts';
import {
	addCrash, hasMoreEvidence, isPublished, suspicionTimeToLiveMilliseconds, type Suspicion,
} from './suspicion.ts';
import {type UnsavedCrashes} from './unsaved-crashes.ts';

/** Update to a suspected request; without a suspicion, the request was cleared or its suspicion expired. */
export type SuspectChange = {digest: string; suspicion?: Suspicion; revision: number};

/** Cached state of a request. */
export type KnownSuspicion = {
	suspicion: Suspicion | undefined;
	/** Revision of its row in the store; 0 while only unsaved crashes are known. */
	revision: number;
	/** Monotonic time at which the current suspicion was received, in milliseconds. Delays are measured from it, since hosts do not share a clock. */
	receivedAt: number;
};

/** Options of {@linkcode KnownSuspicions}. */
export type KnownSuspicionsOptions = {
	/** Crashes that are not saved in the store yet; they count as well. */
	unsaved: UnsavedCrashes;
	/** Monotonic time, in milliseconds. */
	clock: () => number;
};

/** Maximum number of removed requests to keep as tombstones, so that an older row that arrives late cannot restore them. */
const maximumTombstones = 1000;

/**
 * Caches the newest known row of each suspected request.
 *
 * @example
 * ```ts
 * known.apply([{digest, suspicion, revision}]);
 * known.lookUp(digest)?.suspicion;
 * ```
 */
export class KnownSuspicions {
	readonly #options: KnownSuspicionsOptions;
	readonly #known = new Map<string, KnownSuspicion>();
	#revision = 0;
	#isLoaded = false;

	constructor(options: KnownSuspicionsOptions) {
		this.#options = options;
	}

	/** Number of cached requests, tombstones included. */
	get size(): number {
		return this.#known.size;
	}

	/** Store revision up to which all changes are known. */
	get revision(): number {
		return this.#revision;
	}

	/** Whether the list of suspected requests was received at least once, from the store or another gateway. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Returns the cached state of a request, unless it has expired. */
	lookUp(digest: string): KnownSuspicion | undefined {
		const known = this.#known.get(digest);
		if (known && this.#options.clock() - known.receivedAt >= suspicionTimeToLiveMilliseconds) {
			this.#known.delete(digest);
			return undefined;
		}

		return known;
	}

	/** Applies updates from the store or another gateway; they may arrive in any order, and older ones are ignored. */
	apply(changes: readonly SuspectChange[]): void {
		for (const {digest, suspicion, revision} of changes) {
			if (revision > (this.#known.get(digest)?.revision ?? 0)) {
				this.set(digest, {suspicion, revision});
			}
		}

		this.#pruneTombstones();
	}

	/**
	 * Applies a complete list of the rows in the store; cached requests that are missing from it were cleared or have expired.
	 *
	 * Those that are known from before the store came back from an older copy stay as they are if the list has less evidence or lacks them.
	 *
	 * @returns Suspicions that the store has lost and that must be saved again, by digest.
	 */
	replace(changes: readonly SuspectChange[], revision: number): Map<string, Suspicion> {
		const listed = new Set(changes.map(({digest}) => digest));
		const lost = this.#lostSuspicions(changes, revision);
		const removed = [...this.#known].filter(([digest, known]) => known.revision > 0 && !listed.has(digest) && !lost.has(digest)).map(([digest]) => ({digest, suspicion: undefined, revision}));
		this.apply([...changes.filter(({digest}) => !lost.has(digest)), ...removed]);
		return lost;
	}

	/** Records that all changes up to a store revision have been applied. */
	confirm(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
		this.#isLoaded ||= revision > 0;
	}

	/** Returns the rows that changed after a revision, to send to other gateways. */
	changesSince(revision: number): SuspectChange[] {
		return [...this.#known].filter(([, known]) => known.revision > revision).map(([digest, known]) => ({digest, suspicion: known.suspicion, revision: known.revision}));
	}

	/** Sets the stored state of a request. Crashes that this gateway has not saved yet are kept, unless the request was cleared. */
	set(digest: string, {suspicion, revision}: Omit<KnownSuspicion, 'receivedAt'>): void {
		const {unsaved, clock} = this.#options;
		unsaved.removeReported(digest, {isCleared: suspicion === undefined});
		const before = this.#known.get(digest);
		const isKnown = before !== undefined && isDeepStrictEqual(suspicion, before.suspicion);
		this.#known.delete(digest);
		if (suspicion ? isPublished(suspicion) : revision > 0) {
			this.#known.set(digest, {suspicion, revision, receivedAt: isKnown ? before.receivedAt : clock()});
		}

		this.addUnsaved(digest);
	}

	/** Adds the unsaved crashes of a request to its stored suspicion. */
	addUnsaved(digest: string): void {
		const {unsaved, clock} = this.#options;
		const known = this.#known.get(digest);
		let suspicion = known?.suspicion;
		for (const {kind, service, life: incarnation, servedMillisecondsBefore} of unsaved.ofRequest(digest)) {
			const at = suspicion?.changedAt ?? 0;
			suspicion = addCrash(suspicion, {
				kind, service, incarnation, servedAt: servedMillisecondsBefore === undefined ? undefined : at - servedMillisecondsBefore,
			}, at);
		}

		if (suspicion !== known?.suspicion) {
			this.#known.set(digest, {suspicion, revision: known?.revision ?? 0, receivedAt: clock()});
		}
	}

	/** Removes a request that is only known from unsaved crashes. */
	removeUnsaved(digest: string): void {
		if (this.#known.get(digest)?.revision === 0) {
			this.#known.delete(digest);
		}
	}

	/** Returns the cached suspicions from before the store came back from an older copy of which a list has less evidence, or none. */
	#lostSuspicions(changes: readonly SuspectChange[], revision: number): Map<string, Suspicion> {
		const listed = new Map(changes.map(({digest, suspicion}) => [digest, suspicion]));
		return new Map([...this.#known].flatMap(([digest, known]) => {
			const isLost = known.suspicion !== undefined && known.revision > 0 && eraOf(known.revision) < eraOf(revision) && hasMoreEvidence(known.suspicion, listed.get(digest));
			return isLost ? [[digest, known.suspicion!] as const] : [];
		}));
	}

	#pruneTombstones(): void {
		const removed = [...this.#known].filter(([, {suspicion}]) => !suspicion);
		for (const [digest] of removed.slice(0, Math.max(0, removed.length - maximumTombstones))) {
			this.#known.delete(digest);
		}
	}
}
