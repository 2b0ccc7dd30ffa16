/**
 * Load of endpoints, by the requests that this gateway has in progress there.
 *
 * @module
 */

/**
 * Counts the requests in progress at each endpoint.
 *
 * @example
 * ```ts
 * const release = loads.trackRequest(endpoint.id, 8200);
 * release();
 * ```
 */
export class EndpointLoads {
	readonly #loads = new Map<string, {requests: number; tokens: number}>();

	/**
	 * Counts a request that starts.
	 *
	 * @param id ID of the endpoint.
	 * @param tokens Tokens of memory that the request will take; 0 for plain services.
	 * @returns Function to call when the request ends; further calls have no effect.
	 */
	trackRequest(id: string, tokens: number): () => void {
		const load = this.#loads.get(id) ?? {requests: 0, tokens: 0};
		load.requests += 1;
		load.tokens += tokens;
		this.#loads.set(id, load);
		let isReleased = false;
		return () => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			load.requests -= 1;
			load.tokens -= tokens;
			if (load.requests === 0 && this.#loads.get(id) === load) {
				this.#loads.delete(id);
			}
		};
	}

	/** Returns the number of requests in progress at an endpoint. */
	requests(id: string): number {
		return this.#loads.get(id)?.requests ?? 0;
	}

	/** Returns the tokens of memory that the requests in progress at an endpoint will take. */
	tokens(id: string): number {
		return this.#loads.get(id)?.tokens ?? 0;
	}
}
