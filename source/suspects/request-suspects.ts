/**
 * What a gateway knows of requests that may end endpoints, and what it does with them.
 *
 * @module
 */
import {isDeepStrictEqual} from 'node:util';
import {ok, type Result} from 'neverthrow';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/logger.ts';
import {type RequestIdentity} from './request-identity.ts';
import {type StoredSuspicion, type SuspicionTable} from './suspicion-table.ts';
import {
	addEnd, beginTrial, forgottenMilliseconds, isRefused, isSameLife, takeBackTrial, toldEnds, trialPause, type EndpointLife, type Suspicion,
} from './suspicion.ts';

/** Options of {@linkcode RequestSuspects}. */
export type RequestSuspectsOptions = {
	table: Pick<SuspicionTable, 'change'>;
	logger: Logger;
	/** Steady time, in milliseconds. */
	clock: () => number;
	/** Counts a decision on a suspected request. */
	count(decision: SuspectDecision): void;
};

/** What becomes of a request on arrival: it runs as any other, with care, once, or not. */
export type SuspectAdmission
	= | {kind: 'free'}
	/** Endpoints have ended under it; it is sent to one endpoint at a time. */
		| {kind: 'suspected'}
	/** It is refused, but for this one attempt, which is sent to one endpoint. */
		| {kind: 'trial'}
		| {kind: 'refused'; retryAfterMilliseconds: number};

/** Decisions that are counted. */
export type SuspectDecision = 'counted' | 'refused' | 'trial' | 'cleared';

/** What is told of a request; no suspicion means that it was cleared or forgotten. */
export type SuspectChange = {digest: string; suspicion?: Suspicion; revision: number};

/** The end of an endpoint under a request that the store has not taken yet. */
export type UnsavedEnd = {digest: string; service: string; life: EndpointLife};

type Known = {
	suspicion: Suspicion | undefined;
	/** Revision of its row; 0 while the store has told nothing of it. */
	revision: number;
	/** Steady time at which this was learnt, in milliseconds: all pauses are counted from it, since hosts do not share a clock. */
	learntAt: number;
};

type Unsaved = {end: UnsavedEnd; seenAt: number; isOwn: boolean};

/** Time after which a trial that the store could not be asked for is asked for again, in milliseconds. */
const askAgainMilliseconds = 1000;

/** Time between two tries to save ends that the store did not take, in milliseconds; longer each time up to the longest one. */
const saveMilliseconds = 1000;

/** Longest time between two such tries, in milliseconds. */
const longestSaveMilliseconds = 8000;

/** Time for which ends that the store has not taken count, in milliseconds. */
const unsavedMilliseconds = 60_000;

/** Ends told to another gateway at once, while the store is away. */
const mostTold = 100;

/** Requests that were cleared or forgotten and are remembered, so that an older row cannot bring them back. */
const rememberedRemovals = 1000;

/**
 * Counts the ends of endpoints under each request over all gateways, and refuses a request once there are too many.
 *
 * The count lies in the store, so that it outlives every gateway and does not depend on which gateways know each other. Each gateway acts
 * on the newest count that it has heard of, and on its own ends at once. A request that is served well by any gateway is cleared.
 *
 * @example
 * ```ts
 * const admission = await suspects.admit(identity);
 * if (admission.kind === 'refused') { … }
 * ```
 */
export class RequestSuspects {
	readonly #options: RequestSuspectsOptions;
	readonly #known = new Map<string, Known>();
	/** Ends that the store has not taken yet, by request and life. */
	readonly #unsaved = new Map<string, Unsaved>();
	/** Ends that are being saved. */
	readonly #saving = new Map<string, Promise<boolean>>();
	readonly #claiming = new Set<string>();
	#revision = 0;
	#isTold = false;

	constructor(options: RequestSuspectsOptions) {
		this.#options = options;
	}

	/** Revision up to which the store's changes are known. */
	get revision(): number {
		return this.#revision;
	}

	/** Whether the store or another gateway has told which requests are suspected. */
	get isTold(): boolean {
		return this.#isTold;
	}

	/** Decides on a request that has just arrived. */
	async admit(identity: RequestIdentity): Promise<SuspectAdmission> {
		if (this.#known.size === 0) {
			return {kind: 'free'};
		}

		const {digest} = identity;
		const known = this.#find(digest);
		if (!known?.suspicion || known.suspicion.ends.length < toldEnds) {
			return {kind: 'free'};
		}

		if (!isRefused(known.suspicion)) {
			return {kind: 'suspected'};
		}

		const left = known.learntAt + trialPause(known.suspicion) - this.#options.clock();
		return left > 0 ? this.#refuse(digest, left) : this.#claimTrial(digest);
	}

	/** Whether a request must not be sent to another endpoint. */
	isRefused(identity: RequestIdentity): boolean {
		const suspicion = this.#known.size === 0 ? undefined : this.#find(identity.digest)?.suspicion;
		return suspicion !== undefined && isRefused(suspicion);
	}

	/**
	 * Records that an endpoint ended under a request.
	 *
	 * @param identity The request.
	 * @param endpoint The endpoint, in the life that ended.
	 */
	async ended({digest}: RequestIdentity, {id, startedAt, service}: EndpointEntry): Promise<void> {
		const end = {digest, service, life: {id, startedAt}};
		this.#addLocally(end, true);
		await this.#save(end);
	}

	/** Records that a request was served well; clears it if it was suspected. */
	async succeeded(identity: RequestIdentity): Promise<void> {
		const known = this.#known.size === 0 ? undefined : this.#find(identity.digest);
		if (!known?.suspicion || known.suspicion.ends.length < toldEnds) {
			return;
		}

		const {digest} = identity;
		this.#learn(digest, {suspicion: undefined, revision: known.revision});
		this.#log('cleared', digest, known.suspicion);
		this.#take(digest, await this.#options.table.change(digest, () => undefined));
	}

	/** Records that a trial did not run. */
	async trialNotRun({digest}: RequestIdentity): Promise<void> {
		this.#take(digest, await this.#options.table.change(digest, (before, now) => before && takeBackTrial(before, now)));
	}

	/** Takes rows that the store or another gateway tells, in any order. */
	apply(changes: readonly SuspectChange[]): void {
		for (const {digest, suspicion, revision} of changes) {
			if (revision > (this.#known.get(digest)?.revision ?? 0)) {
				this.#learn(digest, {suspicion, revision});
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

	/** Ends that the store has not taken, for other gateways. */
	unsavedEnds(): UnsavedEnd[] {
		this.#expireUnsaved();
		return [...this.#unsaved.values()].slice(-mostTold).map(({end}) => end);
	}

	/** Takes ends of which another gateway says that the store has not taken them. */
	hear(ends: readonly UnsavedEnd[]): void {
		for (const end of ends) {
			this.#addLocally(end, false);
		}
	}

	/** Saves the ends that the store did not take, until the signal aborts. */
	async saveUnsaved(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		let pauseMilliseconds = saveMilliseconds;
		while (await pause(pauseMilliseconds, signal)) {
			const isSaved = await this.#saveAll();
			pauseMilliseconds = isSaved ? saveMilliseconds : Math.min(pauseMilliseconds * 2, longestSaveMilliseconds);
		}

		return ok();
	}

	/** Saves the ends of this gateway, up to the first that the store does not take. */
	async #saveAll(): Promise<boolean> {
		this.#expireUnsaved();
		for (const {end, isOwn} of this.#unsaved.values()) {
			if (isOwn && !await this.#save(end)) {
				return false;
			}
		}

		return true;
	}

	/** Has the store count an end, once for all attempts that saw it; returns whether it did. */
	async #save(end: UnsavedEnd): Promise<boolean> {
		const name = nameOf(end);
		const saving = this.#saving.get(name) ?? this.#saveOnce(end).finally(() => {
			this.#saving.delete(name);
		});
		this.#saving.set(name, saving);
		return saving;
	}

	async #saveOnce(end: UnsavedEnd): Promise<boolean> {
		const {digest, service, life} = end;
		const saved = await this.#options.table.change(digest, (before, now) => addEnd(before, service, life, now));
		if (saved.isErr()) {
			this.#options.logger.warn('end of an endpoint under a request is not saved yet', {digest, endpoint: life.id, reason: saved.error});
			return false;
		}

		this.#unsaved.delete(nameOf(end));
		this.#take(digest, saved);
		if (saved.value.isChanged) {
			this.#log('counted', digest, saved.value.suspicion);
		}

		return true;
	}

	/** Asks the store for a trial; nobody else gets one at the same time. */
	async #claimTrial(digest: string): Promise<SuspectAdmission> {
		if (this.#claiming.has(digest)) {
			return this.#refuse(digest, askAgainMilliseconds);
		}

		this.#claiming.add(digest);
		const claimed = await this.#options.table.change(digest, (before, now) => before && isRefused(before) ? beginTrial(before, now) ?? before : before);
		this.#claiming.delete(digest);
		if (claimed.isErr()) {
			this.#options.logger.warn('no trial of a refused request could be asked for', {digest, reason: claimed.error});
			return this.#refuse(digest, askAgainMilliseconds);
		}

		this.#take(digest, claimed);
		const {suspicion, isChanged} = claimed.value;
		if (isChanged) {
			this.#log('trial', digest, suspicion);
			return {kind: 'trial'};
		}

		const newest = this.#find(digest)?.suspicion;
		return newest && isRefused(newest) ? this.#refuse(digest, trialPause(newest)) : {kind: 'free'};
	}

	#refuse(digest: string, retryAfterMilliseconds: number): SuspectAdmission {
		this.#log('refused', digest, this.#known.get(digest)?.suspicion);
		return {kind: 'refused', retryAfterMilliseconds: Math.max(askAgainMilliseconds, retryAfterMilliseconds)};
	}

	#find(digest: string): Known | undefined {
		const known = this.#known.get(digest);
		if (known && this.#options.clock() - known.learntAt >= forgottenMilliseconds) {
			this.#known.delete(digest);
			return undefined;
		}

		return known;
	}

	/** Takes what a row says after this gateway has changed it. */
	#take(digest: string, stored: Result<StoredSuspicion, string>): void {
		if (stored.isErr()) {
			return;
		}

		const {suspicion, revision} = stored.value;
		if (revision >= (this.#known.get(digest)?.revision ?? 0)) {
			this.#learn(digest, {suspicion, revision});
		}
	}

	/** Takes what the store says of a request; ends that it has not taken stay, unless the request was cleared. */
	#learn(digest: string, {suspicion, revision}: Omit<Known, 'learntAt'>): void {
		this.#dropUnsaved(digest, ({isOwn}) => suspicion === undefined || !isOwn);
		const before = this.#known.get(digest);
		const isNews = !isDeepStrictEqual(suspicion, before?.suspicion);
		this.#known.delete(digest);
		const isTold = suspicion ? suspicion.ends.length >= toldEnds : revision > 0;
		if (isTold) {
			this.#known.set(digest, {suspicion, revision, learntAt: isNews ? this.#options.clock() : before!.learntAt});
		}

		this.#addUnsaved(digest);
	}

	#addLocally(end: UnsavedEnd, isOwn: boolean): void {
		const name = nameOf(end);
		const known = this.#known.get(end.digest);
		if (this.#unsaved.has(name) || known?.suspicion?.ends.some(life => isSameLife(life, end.life))) {
			return;
		}

		this.#unsaved.set(name, {end, seenAt: this.#options.clock(), isOwn});
		this.#addUnsaved(end.digest);
	}

	/** Adds the ends that the store has not taken yet to what it says. */
	#addUnsaved(digest: string): void {
		const known = this.#known.get(digest);
		let suspicion = known?.suspicion;
		for (const {end} of this.#unsaved.values()) {
			if (end.digest === digest) {
				suspicion = addEnd(suspicion, end.service, end.life, suspicion?.changedAt ?? 0);
			}
		}

		if (suspicion !== known?.suspicion) {
			this.#known.set(digest, {suspicion, revision: known?.revision ?? 0, learntAt: this.#options.clock()});
		}
	}

	#dropUnsaved(digest: string, isDropped: (unsaved: Unsaved) => boolean): void {
		for (const [name, unsaved] of this.#unsaved) {
			if (unsaved.end.digest === digest && isDropped(unsaved)) {
				this.#unsaved.delete(name);
			}
		}
	}

	#expireUnsaved(): void {
		const now = this.#options.clock();
		for (const [name, {end: {digest}, seenAt}] of this.#unsaved) {
			if (now - seenAt >= unsavedMilliseconds) {
				this.#unsaved.delete(name);
				// What was known from it alone goes with it.
				if (this.#known.get(digest)?.revision === 0) {
					this.#known.delete(digest);
				}
			}
		}
	}

	#forgetRemovals(): void {
		const removed = [...this.#known].filter(([, {suspicion}]) => !suspicion);
		for (const [digest] of removed.slice(0, Math.max(0, removed.length - rememberedRemovals))) {
			this.#known.delete(digest);
		}
	}

	#log(decision: SuspectDecision, digest: string, suspicion: Suspicion | undefined): void {
		const {logger, count} = this.#options;
		count(decision);
		logger.info(messages[decision], {
			digest, ends: suspicion?.ends.length, endpoints: suspicion?.ends.map(({id}) => id), trials: suspicion?.trials,
		});
	}
}

const messages: Record<SuspectDecision, string> = {
	counted: 'end of an endpoint counted against a request',
	refused: 'request refused: endpoints end under it',
	trial: 'refused request is tried once',
	cleared: 'suspected request cleared: it was served',
};

function nameOf({digest, life: {id, startedAt}}: UnsavedEnd): string {
	return JSON.stringify([digest, id, startedAt]);
}
