/**
 * Admission control for requests, and parts of their prompts, that are suspected of crashing endpoints.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type EndpointEntry} from '../registry/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/logger.ts';
import {CrashSaver} from './crash-saver.ts';
import {KnownSuspicions, type SuspectChange} from './known-suspicions.ts';
import {type RequestIdentity, type SuspectSubject} from './request-identity.ts';
import {ServedParts} from './served-parts.ts';
import {type SuspicionTable} from './suspicion-table.ts';
import {SuspicionWriter, type SuspectDecision} from './suspicion-writer.ts';
import {TrialClaims, type RefusedSubject} from './trial-claims.ts';
import {
	addProof, isPublished, isRefused, isSameIncarnation, trialDelay, type Suspicion, type TrialScope,
} from './suspicion.ts';
import {UnsavedCrashes, type UnsavedCrash} from './unsaved-crashes.ts';

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

/** Time until a trial that could not be claimed from the store is requested again, in milliseconds. Also the shortest retry delay of a refusal. */
const trialRetryMilliseconds = 1000;

/** Maximum time that a request waits for the outcome of a trial of its prompt parts by another request, in milliseconds. */
const maximumTrialWaitMilliseconds = 2500;

/** Interval between two checks for that outcome, in milliseconds. */
const trialCheckMilliseconds = 50;

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
	/** Digests of subjects of which this gateway is saving that they were served. */
	readonly #proving = new Set<string>();
	readonly #writer: SuspicionWriter;
	readonly #trials: TrialClaims;
	readonly #saver: CrashSaver;

	constructor(options: SuspectedRequestsOptions) {
		this.#options = options;
		this.known = new KnownSuspicions({unsaved: this.#unsaved, clock: options.clock});
		this.#writer = new SuspicionWriter({...options, known: this.known});
		this.#trials = new TrialClaims({...options, writer: this.#writer});
		this.#saver = new CrashSaver({
			...options, known: this.known, unsaved: this.#unsaved, writer: this.#writer,
		});
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
			const isClaiming = this.#trials.isClaiming(refused);
			if (remaining <= 0 && !isClaiming) {
				const claim = await this.#trials.claim(refused, scope);
				if (claim === 'granted') {
					return {kind: 'trial'};
				}

				if (claim === 'failed' || this.#options.clock() >= until) {
					return this.#refuse(refused, trialRetryMilliseconds);
				}
			} else if (this.#options.clock() >= until || !(isClaiming || isBeingTried(refused))) {
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

		await Promise.all(crashes.map(async crash => this.#saver.save(crash)));
	}

	/** Records that a request was served successfully; clears it and its prompt parts if they were suspected. */
	async recordSuccess(identity: RequestIdentity): Promise<void> {
		await Promise.all([this.recordServedParts(identity), ...(this.known.size === 0 ? [] : [this.clear(identity.digest)])]);
	}

	/** Records that an engine has written enough of an answer to show that the parts of its prompt are sound; clears them if they were suspected. */
	async recordServedParts({partDigests}: RequestIdentity): Promise<void> {
		for (const digest of partDigests) {
			this.#served.record(digest, this.#options.clock());
		}

		await Promise.all(partDigests.map(async digest => this.clear(digest)));
	}

	/** Reverts a trial that did not run, so that the request or its parts get another one. */
	async revertTrial({subjects}: RequestIdentity): Promise<void> {
		const tried = subjects.filter(({digest}) => this.known.lookUp(digest)?.suspicion?.trials);
		await Promise.all(tried.map(async ({digest}) => this.#trials.revert(digest, tried.length === 1 ? 'sole' : 'joint')));
	}

	/** Removes the suspicion of a subject, if it is published or known from crashes that are not saved. */
	async clear(digest: string): Promise<void> {
		const known = this.known.lookUp(digest);
		if (!known?.suspicion || !isPublished(known.suspicion)) {
			return;
		}

		this.known.set(digest, {suspicion: undefined, revision: known.revision});
		this.#writer.log('cleared', digest, known.suspicion);
		await this.#writer.change(digest, () => undefined);
	}

	/** Applies the complete list of published suspicions in the store; saves again what the store has lost by coming back from an older copy. */
	replaceKnown(changes: readonly SuspectChange[], revision: number): void {
		this.#saver.addLost(this.known.replace(changes, revision));
	}

	/** Retries saving this gateway's crashes, until the signal aborts; see {@linkcode CrashSaver.run}. */
	async saveUnsaved(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		return this.#saver.run(signal);
	}

	/** Returns the newest crashes that are not saved in the store, to send to other gateways. */
	unsavedCrashes(): UnsavedCrash[] {
		this.#saver.expire();
		return this.#unsaved.newest();
	}

	/** Adds crashes that another gateway reports as not saved in the store. */
	receiveCrashes(crashes: readonly UnsavedCrash[]): void {
		for (const crash of crashes) {
			this.#addLocally(crash, false);
		}
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
		if (this.#proving.has(digest)) {
			return;
		}

		this.#proving.add(digest);
		const changed = await this.#writer.change(digest, (before, now) => before && addProof(before, now - age));
		this.#proving.delete(digest);
		if (changed.isOk() && changed.value.isChanged) {
			this.#writer.log('proven', digest, changed.value.suspicion);
		}
	}

	#refuse(refused: readonly SuspectSubject[], retryAfterMilliseconds: number): SuspectAdmission {
		for (const {digest} of refused) {
			this.#writer.log('refused', digest, this.known.lookUp(digest)?.suspicion);
		}

		return {kind: 'refused', retryAfterMilliseconds: Math.max(trialRetryMilliseconds, retryAfterMilliseconds)};
	}

	#addLocally(crash: UnsavedCrash, isOwn: boolean): void {
		const known = this.known.lookUp(crash.digest);
		const isKnown = known?.suspicion?.ends.some(incarnation => isSameIncarnation(incarnation, crash.life)) ?? false;
		if (!isKnown && this.#unsaved.add(crash, {isOwn, now: this.#options.clock()})) {
			this.known.addUnsaved(crash.digest);
		}
	}
}

/** Whether a trial of each of the subjects is in progress, so that its outcome is worth waiting for. */
function isBeingTried(refused: readonly RefusedSubject[]): boolean {
	return refused.every(({kind, suspicion}) => kind === 'part' && suspicion.isTried);
}
