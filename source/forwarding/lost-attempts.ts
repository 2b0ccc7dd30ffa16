/**
 * Finds out whether an endpoint's process ended under an attempt whose answer was lost.
 *
 * @module
 */
import {type EndpointEntry} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type RequestIdentity} from '../suspects/mod.ts';
import {type Logger} from '../telemetry/logger.ts';
import {probeEndpoint, type EndpointFate} from './probe-endpoint.ts';

/** Options of {@linkcode LostAttempts}. */
export type LostAttemptsOptions = {
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
};

/** Time for a connection to an endpoint that may have ended, in milliseconds. */
const connectMilliseconds = 150;

/** Time after which an endpoint that still listened is looked at again, in milliseconds: a process that ends may close its connections first. */
const secondLookMilliseconds = 100;

/**
 * Looks at endpoints that lost an answer; attempts that are lost together at one endpoint share a look.
 *
 * @example
 * ```ts
 * const fate = await lostAttempts.look({identity, requestName, endpoint});
 * ```
 */
export class LostAttempts {
	readonly #options: LostAttemptsOptions;
	readonly #looks = new Map<string, Promise<EndpointFate>>();

	constructor(options: LostAttemptsOptions) {
		this.#options = options;
	}

	/** Looks at the endpoint of a lost attempt; returns what the first look shows. */
	async look(attempt: LostAttempt): Promise<EndpointFate> {
		const first = await this.#lookOnce(attempt.endpoint.address);
		if (first === 'lives') {
			void this.#lookAgain(attempt);
		} else {
			this.#note(attempt, first);
		}

		return first;
	}

	async #lookAgain(attempt: LostAttempt): Promise<void> {
		await pause(secondLookMilliseconds);
		this.#note(attempt, await this.#lookOnce(attempt.endpoint.address));
	}

	async #lookOnce(address: string): Promise<EndpointFate> {
		const look = this.#looks.get(address) ?? probeEndpoint(address, connectMilliseconds).finally(() => {
			this.#looks.delete(address);
		});
		this.#looks.set(address, look);
		return look;
	}

	#note({identity, requestName, endpoint}: LostAttempt, fate: EndpointFate): void {
		const {logger, count} = this.#options;
		count(endpoint.service, fate);
		logger.info('endpoint looked at after a lost attempt', {
			request: requestName, digest: identity.digest, endpoint: endpoint.id, startedAt: endpoint.startedAt, fate,
		});
	}
}
