/**
 * List of entries that a caller caches for its time to live.
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
	/** Addresses of entry hosts that are queried first. */
	seeds: string[];
	/** Deadline of one request for entries, in milliseconds. Default 1,000. */
	timeoutMilliseconds?: number;
};

/** Time for which a failed entry is tried last, in milliseconds. */
const failurePenaltyMilliseconds = 5000;

/**
 * Queries entry hosts for the entries to use, and caches the list for its time to live.
 *
 * @example
 * ```ts
 * const entries = new EntryList({seeds: ['10.0.0.1:8080']});
 * const order = await entries.listInOrder(Date.now());
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

	/** Returns the entries in the order in which to try them; recently failed ones come last. */
	async listInOrder(now: number): Promise<string[]> {
		if (now >= this.#expiresAt) {
			await this.#refresh(now);
		}

		const addresses = this.#addresses.length > 0 ? this.#addresses : this.#seeds;
		return this.#sortFailedLast(addresses, now);
	}

	/** Records that an entry failed. */
	recordFailure(address: string, now: number): void {
		this.#failedUntil.set(address, now + failurePenaltyMilliseconds);
	}

	#sortFailedLast(addresses: Iterable<string>, now: number): string[] {
		const hasFailed = (address: string) => Number((this.#failedUntil.get(address) ?? 0) > now);
		return [...addresses].toSorted((left, right) => hasFailed(left) - hasFailed(right));
	}

	async #refresh(now: number): Promise<void> {
		for (const address of this.#sortFailedLast(new Set([...this.#addresses, ...this.#seeds]), now)) {
			const answer = await this.#fetchEntries(address);
			if (answer.isOk() && answer.value.entries.length > 0) {
				this.#addresses = answer.value.entries.map(entry => entry.address);
				this.#expiresAt = now + (answer.value.timeToLiveSeconds * 1000);
				return;
			}
		}
	}

	async #fetchEntries(address: string): Promise<Result<z.output<typeof entriesSchema>, string>> {
		try {
			const response = await request(`http://${address}/v1/entries`, {signal: AbortSignal.timeout(this.#timeoutMilliseconds)});
			return ok(entriesSchema.parse(await response.body.json()));
		} catch (error) {
			return err(String(error));
		}
	}
}
