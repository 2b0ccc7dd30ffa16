/**
 * The requests that this router has in progress at each endpoint.
 *
 * @module
 */

/**
 * Counts requests in progress.
 *
 * @example
 * ```ts
 * const ended = loads.started(endpoint.id, 8200);
 * ended();
 * ```
 */
export class EndpointLoads {
	readonly #loads = new Map<string, {requests: number; tokens: number}>();

	/**
	 * Counts a request.
	 *
	 * @param id The endpoint.
	 * @param tokens Tokens of memory that it will take; 0 for plain services.
	 * @returns The function that counts its end; later calls change nothing.
	 */
	started(id: string, tokens: number): () => void {
		const load = this.#loads.get(id) ?? {requests: 0, tokens: 0};
		load.requests += 1;
		load.tokens += tokens;
		this.#loads.set(id, load);
		let ended = false;
		return () => {
			if (ended) {
				return;
			}

			ended = true;
			load.requests -= 1;
			load.tokens -= tokens;
			if (load.requests === 0 && this.#loads.get(id) === load) {
				this.#loads.delete(id);
			}
		};
	}

	/** Requests in progress at an endpoint. */
	requests(id: string): number {
		return this.#loads.get(id)?.requests ?? 0;
	}

	/** Tokens of memory that they will take. */
	tokens(id: string): number {
		return this.#loads.get(id)?.tokens ?? 0;
	}
}
