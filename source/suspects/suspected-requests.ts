/**
 * Admission control for requests that are suspected of crashing endpoints.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/logger.ts';
import {KnownSuspicions} from './known-suspicions.ts';
import {type RequestIdentity} from './request-identity.ts';
import {type StoredSuspicion, type SuspicionTable} from './suspicion-table.ts';
import {
	addCrash, beginTrial, suspicionTimeToLiveMilliseconds, isRefused, isSameIncarnation, revertTrial, publishThreshold, trialDelay, type Suspicion,
} from './suspicion.ts';
import {UnsavedCrashes, crashKey, type UnsavedCrash} from './unsaved-crashes.ts';

/** Options of {@linkcode SuspectedRequests}. */
export type SuspectedRequestsOptions = {
	table: Pick<SuspicionTable, 'change'>;
	logger: Logger;
	/** Monotonic time, in milliseconds. */
	clock: () => number;
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

/** Decisions on suspected requests that are logged and counted. */
export type SuspectDecision = 'counted' | 'refused' | 'trial' | 'cleared';

/** Time until a trial that could not be claimed from the store is requested again, in milliseconds. Also the shortest retry delay of a refusal. */
const trialRetryMilliseconds = 1000;

/** Initial delay before saving unsaved crashes again, in milliseconds; doubles after each failure. */
const initialSaveDelayMilliseconds = 1000;

/** Maximum delay before saving unsaved crashes again, in milliseconds. */
const maximumSaveDelayMilliseconds = 8000;

/**
 * Counts the endpoint crashes per request across all gateways, and refuses a request once there are too many.
 *
 * The count is kept in the store, so that it survives restarts of all gateways and does not depend on which gateways know each other. Each
 * gateway acts on the newest count that it has received, and on its own crashes immediately. A request that any gateway serves
 * successfully is cleared.
 *
 * @example
 * ```ts
 * const admission = await suspects.admit(identity);
 * if (admission.kind === 'refused') { … }
 * ```
 */
export class SuspectedRequests {
	/** Cached state of the suspected requests. */
	readonly known: KnownSuspicions;
	readonly #options: SuspectedRequestsOptions;
	readonly #unsaved = new UnsavedCrashes();
	/** Crashes that are being saved, by key. */
	readonly #saving = new Map<string, Promise<boolean>>();
	readonly #claimingTrials = new Set<string>();

	constructor(options: SuspectedRequestsOptions) {
		this.#options = options;
		this.known = new KnownSuspicions({unsaved: this.#unsaved, clock: options.clock});
	}

	/** Decides how to handle a request on arrival; claims a trial from the store if one is due. */
	async admit(identity: RequestIdentity): Promise<SuspectAdmission> {
		if (this.known.size === 0) {
			return {kind: 'free'};
		}

		const {digest} = identity;
		const known = this.known.lookUp(digest);
		if (!known?.suspicion || known.suspicion.ends.length < publishThreshold) {
			return {kind: 'free'};
		}

		if (!isRefused(known.suspicion)) {
			return {kind: 'suspected'};
		}

		const remaining = known.receivedAt + trialDelay(known.suspicion) - this.#options.clock();
		return remaining > 0 ? this.#refuse(digest, remaining) : this.#claimTrial(digest);
	}

	/** Whether a request is refused now and must not be sent to another endpoint. */
	isRefused(identity: RequestIdentity): boolean {
		const suspicion = this.known.size === 0 ? undefined : this.known.lookUp(identity.digest)?.suspicion;
		return suspicion !== undefined && isRefused(suspicion);
	}

	/**
	 * Records that an endpoint crashed while running a request.
	 *
	 * @param identity The request.
	 * @param endpoint The endpoint, in the incarnation that crashed.
	 */
	async recordCrash({digest}: RequestIdentity, {id, startedAt, service}: EndpointEntry): Promise<void> {
		const crash = {digest, service, life: {id, startedAt}};
		this.#addLocally(crash, true);
		await this.#save(crash);
	}

	/** Records that a request was served successfully; clears it if it was suspected. */
	async recordSuccess(identity: RequestIdentity): Promise<void> {
		const known = this.known.size === 0 ? undefined : this.known.lookUp(identity.digest);
		if (!known?.suspicion || known.suspicion.ends.length < publishThreshold) {
			return;
		}

		const {digest} = identity;
		this.known.set(digest, {suspicion: undefined, revision: known.revision});
		this.#log('cleared', digest, known.suspicion);
		this.#applyResult(digest, await this.#options.table.change(digest, () => undefined));
	}

	/** Reverts a trial that did not run, so that the request gets another one. */
	async revertTrial({digest}: RequestIdentity): Promise<void> {
		this.#applyResult(digest, await this.#options.table.change(digest, (before, now) => before && revertTrial(before, now)));
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
		const {digest, service, life: incarnation} = crash;
		const saved = await this.#options.table.change(digest, (before, now) => addCrash(before, service, incarnation, now));
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

	/** Claims a trial from the store, which grants it to one gateway only. */
	async #claimTrial(digest: string): Promise<SuspectAdmission> {
		if (this.#claimingTrials.has(digest)) {
			return this.#refuse(digest, trialRetryMilliseconds);
		}

		this.#claimingTrials.add(digest);
		const claimed = await this.#options.table.change(digest, (before, now) => before && isRefused(before) ? beginTrial(before, now) ?? before : before);
		this.#claimingTrials.delete(digest);
		if (claimed.isErr()) {
			this.#options.logger.warn('no trial of a refused request could be asked for', {digest, reason: claimed.error});
			return this.#refuse(digest, trialRetryMilliseconds);
		}

		this.#applyResult(digest, claimed);
		const {suspicion, isChanged} = claimed.value;
		if (isChanged) {
			this.#log('trial', digest, suspicion);
			return {kind: 'trial'};
		}

		const newest = this.known.lookUp(digest)?.suspicion;
		return newest && isRefused(newest) ? this.#refuse(digest, trialDelay(newest)) : {kind: 'free'};
	}

	#refuse(digest: string, retryAfterMilliseconds: number): SuspectAdmission {
		this.#log('refused', digest, this.known.lookUp(digest)?.suspicion);
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

	#log(decision: SuspectDecision, digest: string, suspicion: Suspicion | undefined): void {
		const {logger, count} = this.#options;
		count(decision);
		logger.info(messages[decision], {
			digest, ends: suspicion?.ends.length, endpoints: suspicion?.ends.map(({id}) => id), trials: suspicion?.trials,
		});
	}
}

const messages: Record<SuspectDecision, string> = {
	counted: 'endpoint crash counted against a request',
	refused: 'request refused: it is suspected of crashing endpoints',
	trial: 'refused request admitted for a trial',
	cleared: 'suspected request cleared: it was served successfully',
};
