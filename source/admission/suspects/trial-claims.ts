/**
 * Claims of endpoints for suspects, so that suspects of different routers do not share one.
 *
 * @module
 */
import * as z from 'zod';
import {type PlatformClient, type Row} from '../../table-service/mod.ts';
import {pause} from '../../supervision/mod.ts';

const table = 'trials';

const claimSchema = z.object({digest: z.string(), until: z.number()});

/** Time after which a claim lapses, in milliseconds. */
const claimMilliseconds = 10_000;

/** Longest wait for the table; without an answer the router counts for itself. */
const answerMilliseconds = 400;

/** Options of {@linkcode TrialClaims}. */
export type TrialClaimsOptions = {
	platform: Pick<PlatformClient, 'transact' | 'read'>;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/**
 * Claims endpoints by an insert into the table.
 *
 * @example
 * ```ts
 * if (await claims.claim(endpoint, digest)) {
 * 	await claims.release(endpoint, digest);
 * }
 * ```
 */
export class TrialClaims {
	readonly #options: TrialClaimsOptions;

	constructor(options: TrialClaimsOptions) {
		this.#options = options;
	}

	/**
	 * Claims an endpoint for a suspect.
	 *
	 * @returns False when another suspect holds it; true also when the table does not answer.
	 */
	async claim(endpoint: string, digest: string): Promise<boolean> {
		return Promise.race([this.#insert(endpoint, digest), pause(answerMilliseconds)]);
	}

	/** Gives an endpoint back; a claim that cannot be given back lapses. */
	async release(endpoint: string, digest: string): Promise<void> {
		const row = await this.#read(endpoint);
		if (row && claimSchema.safeParse(row.value).data?.digest === digest) {
			await this.#options.platform.transact([{
				kind: 'delete', table, key: endpoint, condition: {kind: 'revision', revision: row.revision},
			}]);
		}
	}

	async #insert(endpoint: string, digest: string): Promise<boolean> {
		const value = {digest, until: this.#options.wallClock() + claimMilliseconds};
		const inserted = await this.#options.platform.transact([{
			kind: 'put', table, key: endpoint, value, condition: {kind: 'absent'},
		}]);
		if (inserted.isErr() || inserted.value.kind === 'committed') {
			return true;
		}

		const row = await this.#read(endpoint);
		const held = claimSchema.safeParse(row?.value).data;
		if (!row || (held && held.until > this.#options.wallClock())) {
			return false;
		}

		const replaced = await this.#options.platform.transact([{
			kind: 'put', table, key: endpoint, value, condition: {kind: 'revision', revision: row.revision},
		}]);
		return replaced.isErr() || replaced.value.kind === 'committed';
	}

	async #read(endpoint: string): Promise<Row | undefined> {
		const rows = await this.#options.platform.read([{table, key: endpoint}]);
		return rows.isOk() ? rows.value[0] : undefined;
	}
}
