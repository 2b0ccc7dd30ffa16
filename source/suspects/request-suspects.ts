/**
 * What a gateway knows of requests that may end endpoints, and what it does with them.
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
	addEnd, beginTrial, forgottenMilliseconds, isRefused, isSameLife, takeBackTrial, toldEnds, trialPause, type Suspicion,
} from './suspicion.ts';
import {UnsavedEnds, nameOfEnd, type UnsavedEnd} from './unsaved-ends.ts';

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

/** Time after which a trial that the store could not be asked for is asked for again, in milliseconds. */
const askAgainMilliseconds = 1000;

/** Time between two tries to save ends that the store did not take, in milliseconds; longer each time up to the longest one. */
const saveMilliseconds = 1000;

/** Longest time between two such tries, in milliseconds. */
const longestSaveMilliseconds = 8000;

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
	/** What the store and other gateways have told. */
	readonly known: KnownSuspicions;
	readonly #options: RequestSuspectsOptions;
	readonly #unsaved = new UnsavedEnds();
	/** Ends that are being saved. */
	readonly #saving = new Map<string, Promise<boolean>>();
	readonly #claiming = new Set<string>();

	constructor(options: RequestSuspectsOptions) {
		this.#options = options;
		this.known = new KnownSuspicions({unsaved: this.#unsaved, clock: options.clock});
	}

	/** Decides on a request that has just arrived. */
	async admit(identity: RequestIdentity): Promise<SuspectAdmission> {
		if (this.known.size === 0) {
			return {kind: 'free'};
		}

		const {digest} = identity;
		const known = this.known.lookUp(digest);
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
		const suspicion = this.known.size === 0 ? undefined : this.known.lookUp(identity.digest)?.suspicion;
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
		const known = this.known.size === 0 ? undefined : this.known.lookUp(identity.digest);
		if (!known?.suspicion || known.suspicion.ends.length < toldEnds) {
			return;
		}

		const {digest} = identity;
		this.known.learn(digest, {suspicion: undefined, revision: known.revision});
		this.#log('cleared', digest, known.suspicion);
		this.#take(digest, await this.#options.table.change(digest, () => undefined));
	}

	/** Records that a trial did not run. */
	async trialNotRun({digest}: RequestIdentity): Promise<void> {
		this.#take(digest, await this.#options.table.change(digest, (before, now) => before && takeBackTrial(before, now)));
	}

	/** Ends that the store has not taken, for other gateways. */
	unsavedEnds(): UnsavedEnd[] {
		this.#expireUnsaved();
		return this.#unsaved.newest();
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
		for (const end of this.#unsaved.own()) {
			if (!await this.#save(end)) {
				return false;
			}
		}

		return true;
	}

	/** Has the store count an end, once for all attempts that saw it; returns whether it did. */
	async #save(end: UnsavedEnd): Promise<boolean> {
		const name = nameOfEnd(end);
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

		this.#unsaved.saved(end);
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

		const newest = this.known.lookUp(digest)?.suspicion;
		return newest && isRefused(newest) ? this.#refuse(digest, trialPause(newest)) : {kind: 'free'};
	}

	#refuse(digest: string, retryAfterMilliseconds: number): SuspectAdmission {
		this.#log('refused', digest, this.known.lookUp(digest)?.suspicion);
		return {kind: 'refused', retryAfterMilliseconds: Math.max(askAgainMilliseconds, retryAfterMilliseconds)};
	}

	/** Takes what a row says after this gateway has changed it. */
	#take(digest: string, stored: Result<StoredSuspicion, string>): void {
		if (stored.isErr()) {
			this.#options.logger.warn('row of a suspected request is not changed', {digest, reason: stored.error});
			return;
		}

		const {suspicion, revision} = stored.value;
		if (revision >= (this.known.lookUp(digest)?.revision ?? 0)) {
			this.known.learn(digest, {suspicion, revision});
		}
	}

	#addLocally(end: UnsavedEnd, isOwn: boolean): void {
		const known = this.known.lookUp(end.digest);
		const isKnown = known?.suspicion?.ends.some(life => isSameLife(life, end.life)) ?? false;
		if (!isKnown && this.#unsaved.add(end, {isOwn, now: this.#options.clock()})) {
			this.known.addUnsaved(end.digest);
		}
	}

	/** Forgets ends that count no more, with what was known from them alone. */
	#expireUnsaved(): void {
		for (const digest of this.#unsaved.expire(this.#options.clock())) {
			this.known.forgetUntold(digest);
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
