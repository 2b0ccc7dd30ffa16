/**
 * Circuits by endpoint: consecutive failures close an endpoint to work until a single probe succeeds.
 *
 * @module
 */

/** Options of {@linkcode Circuits}. */
export type CircuitsOptions = {
	/** Consecutive failures that open a circuit. Default 3. */
	failuresToOpen?: number;
	/** Time until the first probe, in milliseconds; it doubles with each failed probe. Default 1,000. */
	firstBackOffMilliseconds?: number;
	/** Longest time between two probes, in milliseconds. Default 15,000. */
	longestBackOffMilliseconds?: number;
};

type Circuit = {failures: number; probeAt: number; triedAt: number; hastened: boolean};

/**
 * Remembers which endpoints fail.
 *
 * @example
 * ```ts
 * circuits.failed(address, now);
 * if (circuits.allows(address, now)) {
 * 	circuits.chosen(address, now);
 * }
 * ```
 */
export class Circuits {
	readonly #options: Required<CircuitsOptions>;
	readonly #circuits = new Map<string, Circuit>();

	constructor(options: CircuitsOptions = {}) {
		this.#options = {
			failuresToOpen: 3, firstBackOffMilliseconds: 1000, longestBackOffMilliseconds: 15_000, ...options,
		};
	}

	/** Whether an endpoint has failed too often in a row. */
	isOpen(address: string): boolean {
		return (this.#circuits.get(address)?.failures ?? 0) >= this.#options.failuresToOpen;
	}

	/** Whether an endpoint may be chosen: its circuit is closed, or a probe is due. */
	allows(address: string, now: number): boolean {
		return !this.isOpen(address) || now >= this.#circuits.get(address)!.probeAt;
	}

	/** Returns when an endpoint was last tried, for a service whose circuits are all open. */
	triedAt(address: string): number {
		return this.#circuits.get(address)?.triedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Records that an endpoint was chosen; an open circuit lets nobody else in until this probe's back-off has passed. */
	chosen(address: string, now: number): void {
		const circuit = this.#circuits.get(address);
		if (circuit) {
			circuit.triedAt = now;
			circuit.probeAt = now + this.#backOff(circuit.failures);
		}
	}

	/** Records that an endpoint answered. */
	succeeded(address: string): void {
		this.#circuits.delete(address);
	}

	/** Records that an endpoint did not answer. */
	failed(address: string, now: number): void {
		const circuit = this.#circuits.get(address);
		const failures = (circuit?.failures ?? 0) + 1;
		this.#circuits.set(address, {
			failures, triedAt: now, probeAt: now + this.#backOff(failures), hastened: circuit?.hastened ?? false,
		});
	}

	/** Records that an endpoint has answered a question about its load: an open circuit is probed at once, one time. */
	reachable(address: string, now: number): void {
		const circuit = this.#circuits.get(address);
		if (circuit && !circuit.hastened) {
			circuit.hastened = true;
			circuit.probeAt = Math.min(circuit.probeAt, now);
		}
	}

	/** Forgets endpoints that are no longer listed. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const address of this.#circuits.keys()) {
			if (!addresses.has(address)) {
				this.#circuits.delete(address);
			}
		}
	}

	#backOff(failures: number): number {
		const {failuresToOpen, firstBackOffMilliseconds, longestBackOffMilliseconds} = this.#options;
		const probes = Math.min(Math.max(0, failures - failuresToOpen), 16);
		return Math.min(firstBackOffMilliseconds * (2 ** probes), longestBackOffMilliseconds);
	}
}
