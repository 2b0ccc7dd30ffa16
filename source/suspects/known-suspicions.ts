/**
 * What a gateway has been told of suspected requests.
 *
 * @module
 */
import {isDeepStrictEqual} from 'node:util';
import {
	addEnd, forgottenMilliseconds, toldEnds, type Suspicion,
} from './suspicion.ts';
import {type UnsavedEnds} from './unsaved-ends.ts';

/** What is told of a request; no suspicion means that it was cleared or forgotten. */
export type SuspectChange = {digest: string; suspicion?: Suspicion; revision: number};

/** What is known of a request. */
export type KnownSuspicion = {
	suspicion: Suspicion | undefined;
	/** Revision of its row; 0 while the store has told nothing of it. */
	revision: number;
	/** Steady time at which this was learnt, in milliseconds: all pauses are counted from it, since hosts do not share a clock. */
	learntAt: number;
};

/** Options of {@linkcode KnownSuspicions}. */
export type KnownSuspicionsOptions = {
	/** Ends that the store has not taken yet; they count as well. */
	unsaved: UnsavedEnds;
	/** Steady time, in milliseconds. */
	clock: () => number;
};

/** Requests that were cleared or forgotten and are remembered, so that an older row cannot bring them back. */
const rememberedRemovals = 1000;

/**
 * Keeps the newest row of each request that all gateways are told of.
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
	#isTold = false;

	constructor(options: KnownSuspicionsOptions) {
		this.#options = options;
	}

	/** Requests that something is known of. */
	get size(): number {
		return this.#known.size;
	}

	/** Revision up to which the store's changes are known. */
	get revision(): number {
		return this.#revision;
	}

	/** Whether the store or another gateway has told which requests are suspected. */
	get isTold(): boolean {
		return this.#isTold;
	}

	/** What is known of a request, unless it is too old to count. */
	lookUp(digest: string): KnownSuspicion | undefined {
		const known = this.#known.get(digest);
		if (known && this.#options.clock() - known.learntAt >= forgottenMilliseconds) {
			this.#known.delete(digest);
			return undefined;
		}

		return known;
	}

	/** Takes rows that the store or another gateway tells, in any order. */
	apply(changes: readonly SuspectChange[]): void {
		for (const {digest, suspicion, revision} of changes) {
			if (revision > (this.#known.get(digest)?.revision ?? 0)) {
				this.learn(digest, {suspicion, revision});
			}
		}

		this.#forgetRemovals();
	}

	/** Takes all rows of the store; what they lack was cleared or forgotten. */
	replace(changes: readonly SuspectChange[], revision: number): void {
		const listed = new Set(changes.map(({digest}) => digest));
		const removed = [...this.#known].filter(([digest, known]) => known.revision > 0 && !listed.has(digest)).map(([digest]) => ({digest, suspicion: undefined, revision}));
		this.apply([...changes, ...removed]);
	}

	/** Records that all changes up to a revision are known. */
	confirm(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
		this.#isTold ||= revision > 0;
	}

	/** The rows that changed after a revision, for other gateways. */
	changesSince(revision: number): SuspectChange[] {
		return [...this.#known].filter(([, known]) => known.revision > revision).map(([digest, known]) => ({digest, suspicion: known.suspicion, revision: known.revision}));
	}

	/** Takes what the store says of a request; ends that it has not taken stay, unless the request was cleared. */
	learn(digest: string, {suspicion, revision}: Omit<KnownSuspicion, 'learntAt'>): void {
		const {unsaved, clock} = this.#options;
		unsaved.drop(digest, {isCleared: suspicion === undefined});
		const before = this.#known.get(digest);
		const isNews = !isDeepStrictEqual(suspicion, before?.suspicion);
		this.#known.delete(digest);
		const isTold = suspicion ? suspicion.ends.length >= toldEnds : revision > 0;
		if (isTold) {
			this.#known.set(digest, {suspicion, revision, learntAt: isNews ? clock() : before!.learntAt});
		}

		this.addUnsaved(digest);
	}

	/** Adds the ends that the store has not taken yet to what it says. */
	addUnsaved(digest: string): void {
		const {unsaved, clock} = this.#options;
		const known = this.#known.get(digest);
		let suspicion = known?.suspicion;
		for (const {service, life} of unsaved.ofRequest(digest)) {
			suspicion = addEnd(suspicion, service, life, suspicion?.changedAt ?? 0);
		}

		if (suspicion !== known?.suspicion) {
			this.#known.set(digest, {suspicion, revision: known?.revision ?? 0, learntAt: clock()});
		}
	}

	/** Forgets what is known of a request from ends alone that the store has not taken. */
	forgetUntold(digest: string): void {
		if (this.#known.get(digest)?.revision === 0) {
			this.#known.delete(digest);
		}
	}

	#forgetRemovals(): void {
		const removed = [...this.#known].filter(([, {suspicion}]) => !suspicion);
		for (const [digest] of removed.slice(0, Math.max(0, removed.length - rememberedRemovals))) {
			this.#known.delete(digest);
		}
	}
}
