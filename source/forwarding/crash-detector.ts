/**
 * Detects whether an endpoint's process crashed during an attempt whose response was lost.
 *
 * @module
 */
import {type EndpointEntry, type IncarnationState} from '../registry/mod.ts';
import {type EndpointList} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {probeEndpoint, type ProbeOutcome} from '../supervision/probe-endpoint.ts';
import {type RequestIdentity, type SuspectedRequests} from '../suspects/mod.ts';
import {type Logger} from '../telemetry/logger.ts';

/** Options of {@linkcode CrashDetector}. */
export type CrashDetectorOptions = {
	endpoints: Pick<EndpointList, 'stateOf'>;
	suspects: Pick<SuspectedRequests, 'recordCrash'>;
	logger: Logger;
	/** Counts a probe of an endpoint by its outcome. */
	countProbe(service: string, outcome: ProbeOutcome): void;
};

/** An attempt whose response was lost. */
export type LostAttempt = {
	identity: RequestIdentity;
	/** Identifier of the request in logs. */
	requestName: string;
	endpoint: EndpointEntry;
	/** Number of events that the attempt had delivered: a request that crashes its endpoint does so early. */
	events: number;
};

/** Number of events from which on a request is not considered the cause of a crash. */
export const crashCauseEventLimit = 16;

/** Timeout for connecting to an endpoint that may have crashed, in milliseconds. */
const connectTimeoutMilliseconds = 150;

/** Delay before an endpoint that still listened is probed again, in milliseconds: a process that exits may close its connections before its listening socket. */
const secondProbeDelayMilliseconds = 100;

/** Maximum time that a request waits for the outcome of the probe, in milliseconds. */
const maximumWaitMilliseconds = 60;

/** Interval between two checks of the endpoint list for an endpoint that did not respond, in milliseconds. */
const listCheckIntervalMilliseconds = 2500;

/** Time for which the endpoint list is checked for such an endpoint, in milliseconds. */
const listWatchMilliseconds = 10_000;

/** Whether the end of a process counts as a crash caused by its requests, by its state in the endpoint list: a process that is leaving or removed ends for other reasons. */
const countsAsCrash: Record<IncarnationState, boolean> = {
	listed: true, replaced: true, leaving: false, removed: false,
};

/**
 * Probes endpoints that lost a response, and records their crashes; attempts that are lost at one endpoint at the same time share a probe.
 *
 * @example
 * ```ts
 * await crashDetector.checkForCrash({identity, requestName, endpoint, events: 0});
 * ```
 */
export class CrashDetector {
	readonly #options: CrashDetectorOptions;
	readonly #probes = new Map<string, Promise<ProbeOutcome>>();

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/** Starts to check whether the endpoint of a lost attempt crashed, and waits a short time for the result; the check continues in the background. */
	async checkForCrash(attempt: LostAttempt): Promise<void> {
		const detection = this.#detect(attempt);
		if (attempt.events < crashCauseEventLimit) {
			await Promise.race([detection, pause(maximumWaitMilliseconds)]);
		}
	}

	/** Checks the endpoint list for an endpoint that did not respond in time: a process that ends resets its connections, unless its host is unreachable. */
	watchList(attempt: LostAttempt): void {
		void this.#pollList(attempt);
	}

	async #detect(attempt: LostAttempt): Promise<void> {
		const outcome = await this.#probe(attempt.endpoint.address);
		if (outcome === 'lives') {
			void this.#probeAgain(attempt);
			return;
		}

		await this.#handleOutcome(attempt, outcome);
	}

	async #probeAgain(attempt: LostAttempt): Promise<void> {
		await pause(secondProbeDelayMilliseconds);
		await this.#handleOutcome(attempt, await this.#probe(attempt.endpoint.address));
	}

	async #probe(address: string): Promise<ProbeOutcome> {
		const probe = this.#probes.get(address) ?? probeEndpoint(address, connectTimeoutMilliseconds).finally(() => {
			this.#probes.delete(address);
		});
		this.#probes.set(address, probe);
		return probe;
	}

	async #handleOutcome(attempt: LostAttempt, outcome: ProbeOutcome): Promise<void> {
		const {endpoints, logger, countProbe} = this.#options;
		const {identity, requestName, endpoint, events} = attempt;
		const listed = endpoints.stateOf(endpoint);
		countProbe(endpoint.service, outcome);
		logger.info('endpoint looked at after a lost attempt', {
			request: requestName, digest: identity.digest, parts: identity.partDigests, endpoint: endpoint.id, startedAt: endpoint.startedAt, fate: outcome, listed, events,
		});
		if (outcome === 'unknown') {
			void this.#pollList(attempt);
		} else if (outcome === 'ended' || listed === 'replaced') {
			await this.#recordCrash(attempt, listed);
		}
	}

	/** Checks for a limited time whether the endpoint list shows that an endpoint which did not respond has restarted: its host may have been unreachable, or the network path interrupted. */
	async #pollList(attempt: LostAttempt): Promise<void> {
		for (let waited = 0; waited < listWatchMilliseconds; waited += listCheckIntervalMilliseconds) {
			await pause(listCheckIntervalMilliseconds);
			const listed = this.#options.endpoints.stateOf(attempt.endpoint);
			if (listed === 'replaced') {
				await this.#recordCrash(attempt, listed);
			}

			if (listed !== 'listed') {
				return;
			}
		}
	}

	async #recordCrash({identity, endpoint, events}: LostAttempt, listed: IncarnationState): Promise<void> {
		if (countsAsCrash[listed] && events < crashCauseEventLimit) {
			await this.#options.suspects.recordCrash(identity, endpoint);
		}
	}
}
