/**
 * The entries that a caller keeps for their time to live.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {request} from 'undici';
import * as z from 'zod';

const entriesSchema = z.object({
	entries: z.array(z.object({address: z.string(), availabilityZone: z.string()})),
	timeToLiveSeconds: z.number(),
});

/** Options of {@linkcode EntryList}. */
export type EntryListOptions = {
	/** Addresses of some entry hosts that are asked first. */
	seeds: string[];
	/** Deadline of one request for entries, in milliseconds. Default 1,000. */
	timeoutMilliseconds?: number;
};

/** Time for which an entry that failed is tried last, in milliseconds. */
const failedMilliseconds = 5000;

/**
 * Asks entry hosts which entries to use, and keeps the answer for its time to live.
 *
 * @example
 * ```ts
 * const entries = new EntryList({seeds: ['10.0.0.1:8080']});
 * const order = await entries.ordered(Date.now());
 * ```
 */
export class EntryList {
	readonly #seeds: string[];
	readonly #timeoutMilliseconds: number;
	readonly #failedUntil = new Map<string, number>();
	#addresses: string[] = [];
	#expiresAt = 0;

	constructor(options: EntryListOptions) {
		this.#seeds = options.seeds;
		this.#timeoutMilliseconds = options.timeoutMilliseconds ?? 1000;
	}

	/** Returns the entries in the order in which to try them: those that failed lately come last. */
	async ordered(now: number): Promise<string[]> {
		if (now >= this.#expiresAt) {
			await this.#refresh(now);
		}

		const addresses = this.#addresses.length > 0 ? this.#addresses : this.#seeds;
		return this.#failedLast(addresses, now);
	}

	/** Records that an entry did not answer. */
	failed(address: string, now: number): void {
		this.#failedUntil.set(address, now + failedMilliseconds);
	}

	#failedLast(addresses: Iterable<string>, now: number): string[] {
		const hasFailed = (address: string) => Number((this.#failedUntil.get(address) ?? 0) > now);
		return [...addresses].toSorted((left, right) => hasFailed(left) - hasFailed(right));
	}

	async #refresh(now: number): Promise<void> {
		for (const address of this.#failedLast(new Set([...this.#addresses, ...this.#seeds]), now)) {
			const answer = await this.#ask(address);
			if (answer.isOk() && answer.value.entries.length > 0) {
				this.#addresses = answer.value.entries.map(entry => entry.address);
				this.#expiresAt = now + (answer.value.timeToLiveSeconds * 1000);
				return;
			}
		}
	}

	async #ask(address: string): Promise<Result<z.output<typeof entriesSchema>, string>> {
		try {
			const response = await request(`http://${address}/v1/entries`, {signal: AbortSignal.timeout(this.#timeoutMilliseconds)});
			return ok(entriesSchema.parse(await response.body.json()));
		} catch (error) {
			return err(String(error));
		}
	}
}
