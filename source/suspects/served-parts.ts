/**
 * Prompt parts that this gateway has seen served.
 *
 * @module
 */
import {proofMilliseconds} from './suspicion.ts';

/** Maximum number of parts to remember; the one that was served longest ago is forgotten first. */
const maximumParts = 5000;

/**
 * Remembers when a request with a prompt part was last served, as evidence that the part is sound.
 *
 * @example
 * ```ts
 * served.record(digest, now);
 * served.ageOf(digest, now); // 0
 * ```
 */
export class ServedParts {
	/** Steady time at which a part was last served, in milliseconds, by digest; the least recent one first. */
	readonly #servedAt = new Map<string, number>();

	/** Records that a request with a part was served. */
	record(digest: string, now: number): void {
		this.#servedAt.delete(digest);
		this.#servedAt.set(digest, now);
		if (this.#servedAt.size > maximumParts) {
			this.#servedAt.delete(this.#servedAt.keys().next().value!);
		}
	}

	/** Returns the time since a part was last served, in milliseconds; `undefined` if that proves nothing any more. */
	ageOf(digest: string, now: number): number | undefined {
		const servedAt = this.#servedAt.get(digest);
		return servedAt === undefined || now - servedAt >= proofMilliseconds ? undefined : now - servedAt;
	}
}
