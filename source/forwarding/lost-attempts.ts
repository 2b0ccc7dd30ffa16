/**
 * Finds out whether an endpoint's process ended under an attempt whose answer was lost.
 *
 * @module
 */
import {type EndpointEntry, type EndpointList, type IncarnationState} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type RequestIdentity, type SuspectedRequests} from '../suspects/mod.ts';
import {type Logger} from '../telemetry/logger.ts';
import {probeEndpoint, type EndpointFate} from './probe-endpoint.ts';

/** Options of {@linkcode LostAttempts}. */
export type LostAttemptsOptions = {
	endpoints: Pick<EndpointList, 'stateOf'>;
	suspects: Pick<SuspectedRequests, 'ended'>;
	logger: Logger;
	/** Counts an endpoint that was looked at, by what was found. */
	count(service: string, fate: EndpointFate): void;
};

/** An attempt whose answer was lost. */
export type LostAttempt = {
	identity: RequestIdentity;
	/** Name of the caller's attempt. */
	requestName: string;
	endpoint: EndpointEntry;
	/** Events that the attempt had brought: a request that ends its endpoint does so soon. */
	events: number;
};

/** Events after which a request is not what ended its endpoint. */
export const harmlessEvents = 16;

/** Time for a connection to an endpoint that may have ended, in milliseconds. */
const connectMilliseconds = 150;

/** Time after which an endpoint that still listened is looked at again, in milliseconds: a process that ends may close its connections first. */
const secondLookMilliseconds = 100;

/** Longest time for which a request waits until it is known what became of its endpoint, in milliseconds. */
const waitMilliseconds = 60;

/** Time between two looks at the list for an endpoint that did not answer, in milliseconds. */
const listLookMilliseconds = 2500;

/** Time for which the list may still tell what became of such an endpoint, in milliseconds. */
const listMilliseconds = 10_000;

/** Whether the end of a process is held against what ran there, by what the list says of it: one that was to leave ends for its own reasons. */
const countsEnd: Record<IncarnationState, boolean> = {
	listed: true, replaced: true, leaving: false, removed: false,
};

/**
 * Looks at endpoints that lost an answer, and has their ends counted; attempts that are lost together at one endpoint share a look.
 *
 * @example
 * ```ts
 * await lostAttempts.settle({identity, requestName, endpoint, events: 0});
 * ```
 */
export class LostAttempts {
	readonly #options: LostAttemptsOptions;
	readonly #looks = new Map<string, Promise<EndpointFate>>();

	constructor(options: LostAttemptsOptions) {
		this.#options = options;
	}

	/** Waits for a moment until it is known whether the endpoint of a lost attempt ended, and counted if it did; goes on finding out after it. */
	async settle(attempt: LostAttempt): Promise<void> {
		const found = this.#look(attempt);
		if (attempt.events < harmlessEvents) {
			await Promise.race([found, pause(waitMilliseconds)]);
		}
	}

	/** Has the list watched for an endpoint that did not answer in time: a process that ends resets its connections, unless its host is dark. */
	watch(attempt: LostAttempt): void {
		void this.#followList(attempt);
	}

	async #look(attempt: LostAttempt): Promise<void> {
		const fate = await this.#lookOnce(attempt.endpoint.address);
		if (fate === 'lives') {
			void this.#lookAgain(attempt);
			return;
		}

		await this.#take(attempt, fate);
	}

	async #lookAgain(attempt: LostAttempt): Promise<void> {
		await pause(secondLookMilliseconds);
		await this.#take(attempt, await this.#lookOnce(attempt.endpoint.address));
	}

	async #lookOnce(address: string): Promise<EndpointFate> {
		const look = this.#looks.get(address) ?? probeEndpoint(address, connectMilliseconds).finally(() => {
			this.#looks.delete(address);
		});
		this.#looks.set(address, look);
		return look;
	}

	async #take(attempt: LostAttempt, fate: EndpointFate): Promise<void> {
		const {endpoints, logger, count} = this.#options;
		const {identity, requestName, endpoint, events} = attempt;
		const listed = endpoints.stateOf(endpoint);
		count(endpoint.service, fate);
		logger.info('endpoint looked at after a lost attempt', {
			request: requestName, digest: identity.digest, endpoint: endpoint.id, startedAt: endpoint.startedAt, fate, listed, events,
		});
		if (fate === 'unknown') {
			void this.#followList(attempt);
		} else if (fate === 'ended' || listed === 'replaced') {
			await this.#count(attempt, listed);
		}
	}

	/** Waits until the list tells that an endpoint which did not answer has started anew: its host was dark, or the way there cut. */
	async #followList(attempt: LostAttempt): Promise<void> {
		for (let waited = 0; waited < listMilliseconds; waited += listLookMilliseconds) {
			await pause(listLookMilliseconds);
			const listed = this.#options.endpoints.stateOf(attempt.endpoint);
			if (listed === 'replaced') {
				await this.#count(attempt, listed);
			}

			if (listed !== 'listed') {
				return;
			}
		}
	}

	async #count({identity, endpoint, events}: LostAttempt, listed: IncarnationState): Promise<void> {
		if (countsEnd[listed] && events < harmlessEvents) {
			await this.#options.suspects.ended(identity, endpoint);
		}
	}
}
