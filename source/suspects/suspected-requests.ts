/**
 * Admission control for requests, and parts of their prompts, that are suspected of crashing endpoints.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/logger.ts';
import {KnownSuspicions, type SuspectChange} from './known-suspicions.ts';
import {type RequestIdentity, type SuspectSubject} from './request-identity.ts';
import {ServedParts} from './served-parts.ts';
import {type StoredSuspicion, type SuspicionTable} from './suspicion-table.ts';
import {
	addCrash, addProof, beginTrial, hasMoreEvidence, isPublished, isRefused, isSameIncarnation, revertTrial, trialDelay, type Suspicion, type TrialScope,
} from './suspicion.ts';
import {UnsavedCrashes, crashKey, type UnsavedCrash} from './unsaved-crashes.ts';

/** Options of {@linkcode SuspectedRequests}. */
export type SuspectedRequestsOptions = {
	table: Pick<SuspicionTable, 'change'>;
	logger: Logger;
	/** Monotonic time, in milliseconds. */
	clock: () => number;
	/** Waits for a time in milliseconds. Default: real time. */
	wait?: (milliseconds: number) => Promise<unknown>;
	/** Counts a decision on a suspected request, for metrics. */
	count(decision: SuspectDecision): void;
};

/** How a request is handled on arrival: without restrictions, with restrictions, as a single attempt, or refused. */
export type SuspectAdmission
	= | {kind: 'free'}
	/** Endpoints have crashed while running it; it is sent to one endpoint at a time. */
		| {kind: 'suspected'}
	/** It is refused, except for this attempt, which is sent to one endpoint only. */
		| {kind: 'trial'}
		| {kind: 'refused'; retryAfterMilliseconds: number};

/** Decisions on suspected requests and prompt parts that are logged and counted. */
export type SuspectDecision = 'counted' | 'refused' | 'trial' | 'cleared' | 'proven';

/** Time until a trial that could not be claimed from the store is requested again, in milliseconds. Also the shortest retry delay of a refusal. */
const trialRetryMilliseconds = 1000;

/** Maximum time that a request waits for the outcome of a trial of its prompt parts by another request, in milliseconds. */
const maximumTrialWaitMilliseconds = 2500;

/** Interval between two checks for that outcome, in milliseconds. */
const trialCheckMilliseconds = 50;

/** Time between two trials of a part that this gateway starts by itself while the store cannot be asked, in milliseconds. */
const unsharedTrialMilliseconds = 20_000;

/** Initial delay before saving unsaved crashes again, in milliseconds; doubles after each failure. */
const initialSaveDelayMilliseconds = 1000;

/** Maximum delay before saving unsaved crashes again, in milliseconds. */
const maximumSaveDelayMilliseconds = 8000;

/** A refused subject of a request, with what is known of it. */
type RefusedSubject = SuspectSubject & {suspicion: Suspicion; receivedAt: number};

/**
 * Counts the endpoint crashes per request and prompt part across all gateways, and refuses requests once there are too many.
 *
 * The count is kept in the store, so that it survives restarts of all gateways and does not depend on which gateways know each other. Each
 * gateway acts on the newest count that it has received, and on its own crashes immediately. A request that any gateway serves
 * successfully is cleared, and so are its prompt parts.
 *
 * @example
 * ```ts
 * const admission = await suspects.admit(identity);
 * if (admission.kind === 'refused') { … }
 * ```
 */
export class SuspectedRequests {
	/** Cached state of the suspected requests and prompt parts. */
	readonly known: KnownSuspicions;
	readonly #options: SuspectedRequestsOptions;
	readonly #unsaved = new UnsavedCrashes();
	readonly #served = new ServedParts();
	/** Suspicions that the store has lost and that are to be saved again, by digest. */
	readonly #lost = new Map<string, Suspicion>();
	/** Crashes that are being saved, by key. */
	readonly #saving = new Map<string, Promise<boolean>>();
	/** Digests of subjects whose row this gateway is changing for a trial or as proven. */
	readonly #changing = new Set<string>();
	/** Steady time of the last trial that was started without the store, in milliseconds, by digest. */
	readonly #unsharedTrials = new Map<string, number>();

	constructor(options: SuspectedRequestsOptions) {
		this.#options = options;
		this.known = new KnownSuspicions({unsaved: this.#unsaved, clock: options.clock});
	}

	/**
	 * Decides how to handle a request on arrival, or before it is sent to another endpoint.
	 *
	 * Claims a trial from the store if one is due. Waits a limited time while another request tries a prompt part that this one has.
	 */
	async admit(identity: RequestIdentity): Promise<SuspectAdmission> {
		const {wait = pause} = this.#options;
		const until = this.#options.clock() + maximumTrialWaitMilliseconds;
		for (;;) {
			const refused = this.#refusedSubjects(identity);
			if (refused.length === 0) {
				return this.#isSuspected(identity) ? {kind: 'suspected'} : {kind: 'free'};
			}

			const scope: TrialScope = refused.length === 1 ? 'sole' : 'joint';
			const remaining = Math.max(...refused.map(({suspicion, receivedAt}) => receivedAt + trialDelay(suspicion, scope) - this.#options.clock()));
			if (remaining <= 0) {
				return this.#claimTrials(refused, scope);
			}

			const isBeingTried = refused.every(({kind, suspicion}) => kind === 'part' && suspicion.isTried);
			if (!isBeingTried || this.#options.clock() >= until) {
				return this.#refuse(refused, remaining);
			}

			await wait(trialCheckMilliseconds);
		}
	}

	/** Whether a request is refused now and must not be sent to another endpoint without being admitted again. */
	isRefused(identity: RequestIdentity): boolean {
		return this.#refusedSubjects(identity).length > 0;
	}

	/**
	 * Records that an endpoint crashed while running a request.
	 *
	 * @param identity The request.
	 * @param endpoint The endpoint, in the incarnation that crashed.
	 */
	async recordCrash({subjects}: RequestIdentity, {id, startedAt, service}: EndpointEntry): Promise<void> {
		const now = this.#options.clock();
		const crashes = subjects.map(({kind, digest}) => ({
			digest, kind, service, life: {id, startedAt}, servedMillisecondsBefore: kind === 'part' ? this.#served.ageOf(digest, now) : undefined,
		}));
		for (const crash of crashes) {
			this.#addLocally(crash, true);
		}

		await Promise.all(crashes.map(async crash => this.#save(crash)));
	}

	/** Records that a request was served successfully; clears it and its prompt parts if they were suspected. */
	async recordSuccess(identity: RequestIdentity): Promise<void> {
		await Promise.all([this.recordServedParts(identity), ...(this.known.size === 0 ? [] : [this.#clear(identity.digest)])]);
	}

	/** Records that an engine has written enough of an answer to show that the parts of its prompt are sound; clears them if they were suspected. */
	async recordServedParts({partDigests}: RequestIdentity): Promise<void> {
		for (const digest of partDigests) {
			this.#served.record(digest, this.#options.clock());
		}

		await Promise.all(partDigests.map(async digest => this.#clear(digest)));
	}

	/** Reverts a trial that did not run, so that the request or its parts get another one. */
	async revertTrial({subjects}: RequestIdentity): Promise<void> {
		const tried = subjects.filter(({digest}) => this.known.lookUp(digest)?.suspicion?.trials);
		await Promise.all(tried.map(async ({digest}) => this.#revertTrial(digest, tried.length === 1 ? 'sole' : 'joint')));
	}

	/** Clears a subject, whatever its crashes. */
	async clear(digest: string): Promise<void> {
		await this.#clear(digest);
	}

	/** Applies the complete list of published suspicions in the store; saves again what the store has lost by coming back from an older copy. */
	replaceKnown(changes: readonly SuspectChange[], revision: number): void {
		for (const [digest, suspicion] of this.known.replace(changes, revision)) {
			this.#lost.set(digest, suspicion);
		}
	}

	/** Returns the newest crashes that are not saved in the store, to send to other gateways. */
	unsavedCrashes(): UnsavedCrash[] {
		this.#expireUnsaved();
		return this.#unsaved.newest();
	}

	/** Adds crashes that another gateway reports as not saved in the store. */
	receiveCrashes(crashes: readonly UnsavedCrash[]): void {
		for (const crash of crashes) {
			this.#addLocally(crash, false);
		}
	}

	/** Retries saving this gateway's crashes with exponential backoff, until the signal aborts. */
	async saveUnsaved(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		let delayMilliseconds = initialSaveDelayMilliseconds;
		while (await pause(delayMilliseconds, signal)) {
			const isSaved = await this.#saveAll();
			delayMilliseconds = isSaved ? initialSaveDelayMilliseconds : Math.min(delayMilliseconds * 2, maximumSaveDelayMilliseconds);
		}

		return ok();
	}

	/** Saves the crashes that this gateway observed; stops at the first failure. Returns whether all were saved. */
	async #saveAll(): Promise<boolean> {
		this.#expireUnsaved();
		for (const [digest, lost] of this.#lost) {
			const saved = await this.#options.table.change(digest, (before, now) => hasMoreEvidence(lost, before) ? {...lost, changedAt: now} : before);
			this.#applyResult(digest, saved);
			if (saved.isErr()) {
				return false;
			}

			this.#lost.delete(digest);
		}

		for (const crash of this.#unsaved.own()) {
			if (!await this.#save(crash)) {
				return false;
			}
		}

		return true;
	}

	/** Saves a crash in the store, once for all attempts that observed it; returns whether it was saved. */
	async #save(crash: UnsavedCrash): Promise<boolean> {
		const key = crashKey(crash);
		const saving = this.#saving.get(key) ?? this.#saveOnce(crash).finally(() => {
			this.#saving.delete(key);
		});
		this.#saving.set(key, saving);
		return saving;
	}

	async #saveOnce(crash: UnsavedCrash): Promise<boolean> {
		const {digest, kind, service, life: incarnation, servedMillisecondsBefore} = crash;
		const saved = await this.#options.table.change(digest, (before, now) => addCrash(before, {
			kind, service, incarnation, servedAt: servedMillisecondsBefore === undefined ? undefined : now - servedMillisecondsBefore,
		}, now));
		if (saved.isErr()) {
			this.#options.logger.warn('end of an endpoint under a request is not saved yet', {digest, endpoint: incarnation.id, reason: saved.error});
			return false;
		}

		this.#unsaved.remove(crash);
		this.#applyResult(digest, saved);
		if (saved.value.isChanged) {
			this.#log('counted', digest, saved.value.suspicion);
		}

		return true;
	}

	/** Returns the subjects of a request that are refused, as far as this gateway has no proof that they are sound. */
	#refusedSubjects(identity: RequestIdentity): RefusedSubject[] {
		if (this.known.size === 0) {
			return [];
		}

		return identity.subjects.flatMap(subject => {
			const known = this.known.lookUp(subject.digest);
			return known?.suspicion && isRefused(known.suspicion) && !this.#refute(subject, known.suspicion) ? [{...subject, suspicion: known.suspicion, receivedAt: known.receivedAt}] : [];
		});
	}

	/** Whether the request itself is suspected, without being refused. */
	#isSuspected({digest}: RequestIdentity): boolean {
		const suspicion = this.known.size === 0 ? undefined : this.known.lookUp(digest)?.suspicion;
		return suspicion !== undefined && isPublished(suspicion);
	}

	/** Whether this gateway has seen a part served so recently that the crashes are too few; tells the other gateways. */
	#refute({kind, digest}: SuspectSubject, suspicion: Suspicion): boolean {
		const age = kind === 'part' ? this.#served.ageOf(digest, this.#options.clock()) : undefined;
		if (age === undefined || isRefused(addProof(suspicion, suspicion.changedAt - age))) {
			return false;
		}

		void this.#publishProof(digest, age);
		return true;
	}

	async #publishProof(digest: string, age: number): Promise<void> {
		if (this.#changing.has(digest)) {
			return;
		}

		this.#changing.add(digest);
		const changed = await this.#options.table.change(digest, (before, now) => before && addProof(before, now - age));
		this.#changing.delete(digest);
		this.#applyResult(digest, changed);
		if (changed.isOk() && changed.value.isChanged) {
			this.#log('proven', digest, changed.value.suspicion);
		}
	}

	/** Removes a suspicion that is published, or known from crashes that are not saved. */
	async #clear(digest: string): Promise<void> {
		const known = this.known.size === 0 ? undefined : this.known.lookUp(digest);
		if (!known?.suspicion || !isPublished(known.suspicion)) {
			return;
		}

		this.known.set(digest, {suspicion: undefined, revision: known.revision});
		this.#log('cleared', digest, known.suspicion);
		this.#applyResult(digest, await this.#options.table.change(digest, () => undefined));
	}

	/** Claims trials of all refused subjects of a request. */
	async #claimTrials(refused: readonly RefusedSubject[], scope: TrialScope): Promise<SuspectAdmission> {
		const claimed: string[] = [];
		for (const subject of refused) {
			const admission = await this.#claimTrial(subject, scope);
			if (admission.kind === 'trial') {
				claimed.push(subject.digest);
			} else if (admission.kind === 'refused') {
				await Promise.all(claimed.map(async digest => this.#revertTrial(digest, scope)));
				return admission;
			}
		}

		return {kind: claimed.length > 0 ? 'trial' : 'free'};
	}

	/** Claims a trial from the store, which grants it to one gateway only. */
	async #claimTrial(subject: RefusedSubject, scope: TrialScope): Promise<SuspectAdmission> {
		const {digest, kind, suspicion: local} = subject;
		if (this.#changing.has(digest)) {
			return this.#refuse([subject], trialRetryMilliseconds);
		}

		this.#changing.add(digest);
		const claimed = await this.#options.table.change(digest, (before, now) => {
			// The row of a part may not be saved yet, or may have been lost with the store.
			const current = before ?? (kind === 'part' ? {...local, changedAt: now} : undefined);
			return current && isRefused(current) ? beginTrial(current, scope, now) ?? before : before;
		});
		this.#changing.delete(digest);
		if (claimed.isErr()) {
			this.#options.logger.warn('no trial of a refused request could be asked for', {digest, reason: claimed.error});
			return kind === 'part' && this.#beginUnsharedTrial(digest) ? {kind: 'trial'} : this.#refuse([subject], trialRetryMilliseconds);
		}

		this.#applyResult(digest, claimed);
		const {suspicion, isChanged} = claimed.value;
		if (isChanged) {
			this.#log('trial', digest, suspicion);
			return {kind: 'trial'};
		}

		const newest = this.known.lookUp(digest)?.suspicion;
		return newest && isRefused(newest) ? this.#refuse([subject], trialDelay(newest, scope)) : {kind: 'free'};
	}

	/** Starts a trial of a part without the store, unless this gateway did so shortly before. */
	#beginUnsharedTrial(digest: string): boolean {
		const now = this.#options.clock();
		if (now - (this.#unsharedTrials.get(digest) ?? Number.NEGATIVE_INFINITY) < unsharedTrialMilliseconds) {
			return false;
		}

		for (const [other, startedAt] of this.#unsharedTrials) {
			if (now - startedAt >= unsharedTrialMilliseconds) {
				this.#unsharedTrials.delete(other);
			}
		}

		this.#unsharedTrials.set(digest, now);
		this.#log('trial', digest, this.known.lookUp(digest)?.suspicion);
		return true;
	}

	async #revertTrial(digest: string, scope: TrialScope): Promise<void> {
		this.#applyResult(digest, await this.#options.table.change(digest, (before, now) => before && revertTrial(before, scope, now)));
	}

	#refuse(refused: readonly SuspectSubject[], retryAfterMilliseconds: number): SuspectAdmission {
		for (const {digest} of refused) {
			this.#log('refused', digest, this.known.lookUp(digest)?.suspicion);
		}

		return {kind: 'refused', retryAfterMilliseconds: Math.max(trialRetryMilliseconds, retryAfterMilliseconds)};
	}

	/** Updates the cache with the result of a change to a row, unless a newer revision is cached. */
	#applyResult(digest: string, stored: Result<StoredSuspicion, string>): void {
		if (stored.isErr()) {
			this.#options.logger.warn('row of a suspected request is not changed', {digest, reason: stored.error});
			return;
		}

		const {suspicion, revision} = stored.value;
		if (revision >= (this.known.lookUp(digest)?.revision ?? 0)) {
			this.known.set(digest, {suspicion, revision});
		}
	}

	#addLocally(crash: UnsavedCrash, isOwn: boolean): void {
		const known = this.known.lookUp(crash.digest);
		const isKnown = known?.suspicion?.ends.some(incarnation => isSameIncarnation(incarnation, crash.life)) ?? false;
		if (!isKnown && this.#unsaved.add(crash, {isOwn, now: this.#options.clock()})) {
			this.known.addUnsaved(crash.digest);
		}
	}

	/** Removes expired crashes, and requests that were only known from them. */
	#expireUnsaved(): void {
		for (const digest of this.#unsaved.expire(this.#options.clock())) {
			this.known.removeUnsaved(digest);
		}
	}

	/** Time since the current state of a subject was received, in milliseconds. */
	#receivedAge(digest: string): number | undefined {
		const known = this.known.lookUp(digest);
		return known && Math.round(this.#options.clock() - known.receivedAt);
	}

	#log(decision: SuspectDecision, digest: string, suspicion: Suspicion | undefined): void {
		const {logger, count} = this.#options;
		count(decision);
		logger.info(messages[decision], {
			digest,
			subject: suspicion?.kind,
			ends: suspicion?.ends.length,
			endpoints: suspicion?.ends.map(({id}) => id),
			trials: suspicion?.trials,
			servedMillisecondsBefore: suspicion?.servedAt === undefined ? undefined : Math.round(suspicion.changedAt - suspicion.servedAt),
			receivedAge: this.#receivedAge(digest),
		});
	}
}

const messages: Record<SuspectDecision, string> = {
	counted: 'endpoint crash counted against a request',
	refused: 'request refused: it is suspected of crashing endpoints',
	trial: 'refused request admitted for a trial',
	cleared: 'suspected request cleared: it was served successfully',
	proven: 'suspected prompt part needs more crashes: it was served shortly before',
};
