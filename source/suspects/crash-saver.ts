/**
 * Saves the crashes that a gateway has observed in the store.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/logger.ts';
import {type KnownSuspicions} from './known-suspicions.ts';
import {type SuspicionWriter} from './suspicion-writer.ts';
import {addCrash, hasMoreEvidence, type Suspicion} from './suspicion.ts';
import {crashKey, type UnsavedCrash, type UnsavedCrashes} from './unsaved-crashes.ts';

/** Options of {@linkcode CrashSaver}. */
export type CrashSaverOptions = {
	known: KnownSuspicions;
	unsaved: UnsavedCrashes;
	writer: SuspicionWriter;
	logger: Logger;
	/** Monotonic time, in milliseconds. */
	clock: () => number;
};

/** Initial delay before saving unsaved crashes again, in milliseconds; doubles after each failure. */
const initialDelayMilliseconds = 1000;

/** Maximum delay before saving unsaved crashes again, in milliseconds. */
const maximumDelayMilliseconds = 8000;

/**
 * Saves each crash once, and saves again what the store has lost.
 *
 * @example
 * ```ts
 * await saver.save(crash);
 * ```
 */
export class CrashSaver {
	readonly #options: CrashSaverOptions;
	/** Suspicions that the store has lost and that are to be saved again, by digest. */
	readonly #lost = new Map<string, Suspicion>();
	/** Crashes that are being saved, by key. */
	readonly #saving = new Map<string, Promise<boolean>>();

	constructor(options: CrashSaverOptions) {
		this.#options = options;
	}

	/** Adds suspicions that the store has lost, by digest. */
	addLost(lost: ReadonlyMap<string, Suspicion>): void {
		for (const [digest, suspicion] of lost) {
			this.#lost.set(digest, suspicion);
		}
	}

	/** Retries saving with exponential backoff, until the signal aborts. */
	async run(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		let delayMilliseconds = initialDelayMilliseconds;
		while (await pause(delayMilliseconds, signal)) {
			const isSaved = await this.#saveAll();
			delayMilliseconds = isSaved ? initialDelayMilliseconds : Math.min(delayMilliseconds * 2, maximumDelayMilliseconds);
		}

		return ok();
	}

	/** Saves a crash, once for all attempts that observed it; returns whether it was saved. */
	async save(crash: UnsavedCrash): Promise<boolean> {
		const key = crashKey(crash);
		const saving = this.#saving.get(key) ?? this.#saveOnce(crash).finally(() => {
			this.#saving.delete(key);
		});
		this.#saving.set(key, saving);
		return saving;
	}

	/** Removes expired crashes, and subjects that were only known from them. */
	expire(): void {
		const {known, unsaved, clock} = this.#options;
		for (const digest of unsaved.expire(clock())) {
			known.removeUnsaved(digest);
		}
	}

	/** Saves all that is not saved; stops at the first failure. Returns whether all was saved. */
	async #saveAll(): Promise<boolean> {
		const {unsaved, writer} = this.#options;
		this.expire();
		for (const [digest, lost] of this.#lost) {
			const saved = await writer.change(digest, (before, now) => hasMoreEvidence(lost, before) ? {...lost, changedAt: now} : before);
			if (saved.isErr()) {
				return false;
			}

			this.#lost.delete(digest);
		}

		for (const crash of unsaved.own()) {
			if (!await this.save(crash)) {
				return false;
			}
		}

		return true;
	}

	async #saveOnce(crash: UnsavedCrash): Promise<boolean> {
		const {unsaved, writer, logger} = this.#options;
		const {digest, kind, service, life: incarnation, servedMillisecondsBefore} = crash;
		const saved = await writer.change(digest, (before, now) => addCrash(before, {
			kind, service, incarnation, servedAt: servedMillisecondsBefore === undefined ? undefined : now - servedMillisecondsBefore,
		}, now), () => {
			unsaved.remove(crash);
		});
		if (saved.isErr()) {
			logger.warn('end of an endpoint under a request is not saved yet', {digest, endpoint: incarnation.id, reason: saved.error});
			return false;
		}

		if (saved.value.isChanged) {
			writer.log('counted', digest, saved.value.suspicion);
		}

		return true;
	}
}
