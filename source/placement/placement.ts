/**
 * Chooses the endpoint of each attempt.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** What a choice takes into account. */
export type PlacementRequest = {
	service: string;
	/** Prompt whose cached prefix is worth going to; absent for plain calls. */
	prompt?: string;
	/** Endpoints that must not be chosen. */
	exclude: ReadonlySet<string>;
	/** Monotonic time, in milliseconds. */
	now: number;
	/** Random number from 0 to 1. */
	random: number;
};

/** Options of {@linkcode Placement}. */
export type PlacementOptions = {
	/** Returns the addresses of a service's endpoints that take new work. */
	endpointsOf: (service: string) => readonly string[];
};

/** Characters of a prompt whose digest names its prefix. */
const prefixLength = 256;

/**
 * Returns the key of a prompt's first block, as cache events name it.
 *
 * @param prompt The prompt.
 * @example
 * ```ts
 * prefixKey('Lore of the northern clans ...');
 * ```
 */
export function prefixKey(prompt: string): string {
	return createHash('sha256').update(prompt.slice(0, prefixLength)).digest('hex').slice(0, 16);
}

/**
 * Counts the work that this router has at each endpoint and chooses among them.
 *
 * @example
 * ```ts
 * const address = placement.choose({service, prompt, exclude, now, random});
 * ```
 */
export class Placement {
	readonly #options: PlacementOptions;
	readonly #outstanding = new Map<string, number>();

	constructor(options: PlacementOptions) {
		this.#options = options;
	}

	/** Chooses an endpoint, or none when all are excluded or leaving. */
	choose(request: PlacementRequest): string | undefined {
		const candidates = this.#options.endpointsOf(request.service).filter(address => !request.exclude.has(address));
		let best: string | undefined;
		for (const address of candidates) {
			if (best === undefined || this.outstanding(address) < this.outstanding(best)) {
				best = address;
			}
		}

		return best;
	}

	/** Tokens that this router has in progress at an endpoint. */
	outstanding(address: string): number {
		return this.#outstanding.get(address) ?? 0;
	}

	/** Counts work that starts at an endpoint. */
	started(address: string, tokens: number): void {
		this.#outstanding.set(address, this.outstanding(address) + tokens);
	}

	/** Counts work that has ended there. */
	finished(address: string, tokens: number): void {
		const left = this.outstanding(address) - tokens;
		if (left > 0) {
			this.#outstanding.set(address, left);
		} else {
			this.#outstanding.delete(address);
		}
	}

	/** Records that an endpoint answered. */
	succeeded(_address: string, _now: number): void {
		// The circuit by endpoint is fed here.
	}

	/** Records that an endpoint did not answer. */
	failed(_address: string, _now: number): void {
		// The circuit by endpoint is fed here.
	}
}
