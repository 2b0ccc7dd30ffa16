/**
 * Circuit breakers by endpoint: consecutive failures open the circuit of an endpoint until a single probe succeeds.
 *
 * @module
 */

/** Options of {@linkcode CircuitBreakers}. */
export type CircuitBreakersOptions = {
	/** Consecutive failures that open a circuit. Default 3. */
	failuresToOpen?: number;
	/** Backoff before the first probe, in milliseconds; doubles with each failed probe. Default 1,000. */
	initialBackoffMilliseconds?: number;
	/** Maximum backoff between two probes, in milliseconds. Default 15,000. */
	maximumBackoffMilliseconds?: number;
};

type Circuit = {failures: number; probeAt: number; lastTriedAt: number; probedEarly: boolean};

/**
 * Tracks the consecutive failures of endpoints.
 *
 * @example
 * ```ts
 * circuitBreakers.recordFailure(address, now);
 * if (circuitBreakers.allows(address, now)) {
 * 	circuitBreakers.recordChoice(address, now);
 * }
 * ```
 */
export class CircuitBreakers {
	readonly #options: Required<CircuitBreakersOptions>;
	readonly #circuits = new Map<string, Circuit>();

	constructor(options: CircuitBreakersOptions = {}) {
		this.#options = {
			failuresToOpen: 3, initialBackoffMilliseconds: 1000, maximumBackoffMilliseconds: 15_000, ...options,
		};
	}

	/** Whether the circuit of an endpoint is open because of consecutive failures. */
	isOpen(address: string): boolean {
		return (this.#circuits.get(address)?.failures ?? 0) >= this.#options.failuresToOpen;
	}

	/** Whether an endpoint may be chosen: its circuit is closed, or a probe is due. */
	allows(address: string, now: number): boolean {
		return !this.isOpen(address) || now >= this.#circuits.get(address)!.probeAt;
	}

	/** Returns when an endpoint was last tried, to choose among endpoints whose circuits are all open. */
	lastTriedAt(address: string): number {
		return this.#circuits.get(address)?.lastTriedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Records that an endpoint was chosen; an open circuit then allows no other request until the backoff has passed. */
	recordChoice(address: string, now: number): void {
		const circuit = this.#circuits.get(address);
		if (circuit) {
			circuit.lastTriedAt = now;
			circuit.probeAt = now + this.#backoff(circuit.failures);
		}
	}

	/** Records that an endpoint answered, which closes its circuit. */
	recordSuccess(address: string): void {
		this.#circuits.delete(address);
	}

	/** Records that an endpoint did not answer. */
	recordFailure(address: string, now: number): void {
		const circuit = this.#circuits.get(address);
		const failures = (circuit?.failures ?? 0) + 1;
		this.#circuits.set(address, {
			failures, lastTriedAt: now, probeAt: now + this.#backoff(failures), probedEarly: circuit?.probedEarly ?? false,
		});
	}

	/** Records that an endpoint answered a load query; an open circuit then allows one early probe. */
	recordReachable(address: string, now: number): void {
		const circuit = this.#circuits.get(address);
		if (circuit && !circuit.probedEarly) {
			circuit.probedEarly = true;
			circuit.probeAt = Math.min(circuit.probeAt, now);
		}
	}

	/** Removes the state of endpoints that are no longer listed. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const address of this.#circuits.keys()) {
			if (!addresses.has(address)) {
				this.#circuits.delete(address);
			}
		}
	}

	#backoff(failures: number): number {
		const {failuresToOpen, initialBackoffMilliseconds, maximumBackoffMilliseconds} = this.#options;
		const probes = Math.min(Math.max(0, failures - failuresToOpen), 16);
		return Math.min(initialBackoffMilliseconds * (2 ** probes), maximumBackoffMilliseconds);
	}
}
