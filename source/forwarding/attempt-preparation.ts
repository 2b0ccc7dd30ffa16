/**
 * Preparation of the next attempt of a call while others are in progress.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';

/** Outcome of a preparation: the endpoint to send the call to; undefined if it is not sent. */
export type PreparedAttempt = {endpoint: EndpointEntry | undefined};

/**
 * Prepares one attempt at a time. Checks and permits that an attempt needs may be slow, and nothing else waits for them.
 *
 * @example
 * ```ts
 * preparation.start(acquireEndpoint(exchange, choose, dependencies));
 * await attempts.next(deadline, preparation.pending);
 * const prepared = preparation.take();
 * ```
 */
export class AttemptPreparation {
	#pending: Promise<undefined> | undefined;
	#prepared: PreparedAttempt | undefined;

	/** Settles when the preparation has ended; undefined if none is in progress or its outcome was taken. */
	get pending(): Promise<undefined> | undefined {
		return this.#pending;
	}

	/**
	 * Starts a preparation; none may be in progress.
	 *
	 * @param endpoint The endpoint that is chosen.
	 */
	start(endpoint: Promise<EndpointEntry | undefined>): void {
		this.#pending = this.#record(endpoint);
	}

	/** Takes the outcome of the preparation; undefined while it is in progress, and if there is none. */
	take(): PreparedAttempt | undefined {
		const prepared = this.#prepared;
		if (prepared) {
			this.#prepared = undefined;
			this.#pending = undefined;
		}

		return prepared;
	}

	async #record(endpoint: Promise<EndpointEntry | undefined>): Promise<undefined> {
		this.#prepared = {endpoint: await endpoint};
	}
}
