/**
 * Claims of endpoints for suspect requests, so that suspects of different routers do not share an endpoint.
 *
 * @module
 */
import * as z from 'zod';
import {type PlatformClient, type Row} from '../../table-service/mod.ts';
import {pause} from '../../supervision/mod.ts';

const table = 'trials';

const claimSchema = z.object({digest: z.string(), until: z.number()});

/** Time after which a claim expires, in milliseconds. */
const claimMilliseconds = 10_000;

/** Maximum wait for the table, in milliseconds; without an answer the claim counts as granted, so that only this router avoids sharing. */
const claimTimeoutMilliseconds = 400;

/** Options of {@linkcode EndpointClaims}. */
export type EndpointClaimsOptions = {
	platform: Pick<PlatformClient, 'transact' | 'read'>;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/**
 * Claims endpoints by conditional writes to a table.
 *
 * @example
 * ```ts
 * if (await claims.claim(endpoint, digest)) {
 * 	await claims.release(endpoint, digest);
 * }
 * ```
 */
export class EndpointClaims {
	readonly #options: EndpointClaimsOptions;

	constructor(options: EndpointClaimsOptions) {
		this.#options = options;
	}

	/**
	 * Claims an endpoint for a suspect request.
	 *
	 * @returns False if another suspect holds the claim; true if it is granted or the table does not answer.
	 */
	async claim(endpoint: string, digest: string): Promise<boolean> {
		return Promise.race([this.#insert(endpoint, digest), pause(claimTimeoutMilliseconds)]);
	}

	/** Releases a claim; a claim that cannot be released expires. */
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
		const existing = claimSchema.safeParse(row?.value).data;
		if (!row || (existing && existing.until > this.#options.wallClock())) {
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
