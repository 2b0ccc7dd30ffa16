/**
 * Claims trials of refused requests and prompt parts.
 *
 * @module
 */
import {type Logger} from '../telemetry/logger.ts';
import {type SuspectSubject} from './request-identity.ts';
import {type SuspicionWriter} from './suspicion-writer.ts';
import {
	beginTrial, isRefused, revertTrial, type Suspicion, type TrialScope,
} from './suspicion.ts';

/** A refused subject of a request, with what is known of it. */
export type RefusedSubject = SuspectSubject & {suspicion: Suspicion; receivedAt: number};

/** Outcome of a claim: granted, not granted since another gateway changed the row, not needed any more, or the store did not answer. */
export type TrialClaim = 'granted' | 'not-granted' | 'not-needed' | 'failed';

/** Options of {@linkcode TrialClaims}. */
export type TrialClaimsOptions = {
	writer: SuspicionWriter;
	logger: Logger;
	/** Monotonic time, in milliseconds. */
	clock: () => number;
};

/** Time between two trials of a part that this gateway starts by itself while the store cannot be asked, in milliseconds. */
const unsharedTrialMilliseconds = 20_000;

/**
 * Claims trials from the store, which grants each to one gateway only.
 *
 * @example
 * ```ts
 * const claim = await trials.claim(refused, 'sole');
 * ```
 */
export class TrialClaims {
	readonly #options: TrialClaimsOptions;
	/** Digests of the subjects that this gateway is claiming. */
	readonly #claiming = new Set<string>();
	/** Steady time of the last trial that was started without the store, in milliseconds, by digest. */
	readonly #unsharedTrials = new Map<string, number>();

	constructor(options: TrialClaimsOptions) {
		this.#options = options;
	}

	/** Whether another request of this gateway is claiming a trial of one of the subjects. */
	isClaiming(refused: readonly SuspectSubject[]): boolean {
		return refused.some(({digest}) => this.#claiming.has(digest));
	}

	/** Claims trials of all refused subjects of a request, or none. */
	async claim(refused: readonly RefusedSubject[], scope: TrialScope): Promise<TrialClaim> {
		const granted: string[] = [];
		for (const subject of refused) {
			const claim = await this.#claim(subject, scope);
			if (claim === 'granted') {
				granted.push(subject.digest);
			} else if (claim !== 'not-needed') {
				await Promise.all(granted.map(async digest => this.revert(digest, scope)));
				return claim;
			}
		}

		return granted.length > 0 ? 'granted' : 'not-needed';
	}

	/** Reverts a trial that did not run. */
	async revert(digest: string, scope: TrialScope): Promise<void> {
		await this.#options.writer.change(digest, (before, now) => before && revertTrial(before, scope, now));
	}

	async #claim({digest, kind, suspicion: local}: RefusedSubject, scope: TrialScope): Promise<TrialClaim> {
		const {writer} = this.#options;
		this.#claiming.add(digest);
		const claimed = await writer.change(digest, (before, now) => {
			// The row of a part may not be saved yet, or may have been lost with the store.
			const current = before ?? (kind === 'part' ? {...local, changedAt: now} : undefined);
			return current && isRefused(current) ? beginTrial(current, scope, now) ?? before : before;
		});
		this.#claiming.delete(digest);
		if (claimed.isErr()) {
			return kind === 'part' && this.#beginUnsharedTrial(digest, local) ? 'granted' : 'failed';
		}

		const {suspicion, isChanged} = claimed.value;
		if (isChanged) {
			writer.log('trial', digest, suspicion);
			return 'granted';
		}

		return suspicion && isRefused(suspicion) ? 'not-granted' : 'not-needed';
	}

	/** Starts a trial of a part without the store, unless this gateway did so shortly before. */
	#beginUnsharedTrial(digest: string, suspicion: Suspicion): boolean {
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
		this.#options.writer.log('trial', digest, suspicion);
		return true;
	}
}
