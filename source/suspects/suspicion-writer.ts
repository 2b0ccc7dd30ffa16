/**
 * Changes suspicions in the store, and logs decisions on them.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type Logger} from '../telemetry/logger.ts';
import {type KnownSuspicions} from './known-suspicions.ts';
import {type StoredSuspicion, type SuspicionChange, type SuspicionTable} from './suspicion-table.ts';
import {type Suspicion} from './suspicion.ts';

/** Decisions on suspected requests and prompt parts that are logged and counted. */
export type SuspectDecision = 'counted' | 'refused' | 'trial' | 'cleared' | 'proven';

/** Options of {@linkcode SuspicionWriter}. */
export type SuspicionWriterOptions = {
	table: Pick<SuspicionTable, 'change'>;
	known: KnownSuspicions;
	logger: Logger;
	/** Monotonic time, in milliseconds. */
	clock: () => number;
	/** Counts a decision, for metrics. */
	count: (decision: SuspectDecision) => void;
};

const messages: Record<SuspectDecision, string> = {
	counted: 'endpoint crash counted against a request',
	refused: 'request refused: it is suspected of crashing endpoints',
	trial: 'refused request admitted for a trial',
	cleared: 'suspected request cleared: it was served successfully',
	proven: 'suspected prompt part needs more crashes: it was served shortly before',
};

/**
 * Changes rows and updates the cache with the results.
 *
 * @example
 * ```ts
 * const changed = await writer.change(digest, () => undefined);
 * writer.log('cleared', digest, suspicion);
 * ```
 */
export class SuspicionWriter {
	readonly #options: SuspicionWriterOptions;

	constructor(options: SuspicionWriterOptions) {
		this.#options = options;
	}

	/**
	 * Changes the row of a subject, and caches its new state unless a newer revision is cached.
	 *
	 * @param digest Digest of the subject.
	 * @param change Computes the new state.
	 * @param onStored Called before the new state is cached. Default does nothing.
	 */
	async change(digest: string, change: SuspicionChange, onStored: () => void = () => undefined): Promise<Result<StoredSuspicion, string>> {
		const {table, known, logger} = this.#options;
		const stored = await table.change(digest, change);
		if (stored.isErr()) {
			logger.warn('row of a suspected request is not changed', {digest, reason: stored.error});
			return stored;
		}

		onStored();
		const {suspicion, revision} = stored.value;
		if (revision >= (known.lookUp(digest)?.revision ?? 0)) {
			known.set(digest, {suspicion, revision});
		}

		return stored;
	}

	/** Logs and counts a decision with the evidence that it is based on. */
	log(decision: SuspectDecision, digest: string, suspicion: Suspicion | undefined): void {
		const {known, logger, clock, count} = this.#options;
		const receivedAt = known.lookUp(digest)?.receivedAt;
		count(decision);
		logger.info(messages[decision], {
			digest,
			subject: suspicion?.kind,
			ends: suspicion?.ends.length,
			endpoints: suspicion?.ends.map(({id}) => id),
			trials: suspicion?.trials,
			servedMillisecondsBefore: suspicion?.servedAt === undefined ? undefined : Math.round(suspicion.changedAt - suspicion.servedAt),
			evidenceAge: receivedAt === undefined ? undefined : Math.round(clock() - receivedAt),
		});
	}
}
