/**
 * Client of the platform's store: rows in tables, with a change feed.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {
	eraOf, revisionOf, versionOf, type RowStore, type RowWrite, type StoredRow, type StoredRows, type StoreFailure, type Transaction, type WriteOutcome,
} from '../stored-rows/mod.ts';
import {
	httpCall, parseJson, type HttpResponse, type HttpCallOptions,
} from './http-call.ts';
import {decodeEra, StoreEra} from './store-era.ts';

/** Options of {@linkcode StoreClient}. */
export type StoreClientOptions = {
	/** IP address and port. */
	address: string;
	/** Timeout of a call, in addition to the wait that the call requests from the store, in milliseconds. Default 900. */
	timeoutMilliseconds?: number;
	/** Called after each call with its operation, its status or `failed`, and the bytes of the response body. Default does nothing. */
	observe?: (operation: string, outcome: string, bytes: number) => void;
	/** Monotonic time, in milliseconds. Default real time. */
	clock?: () => number;
};

const rowSchema = z.object({
	key: z.string(),
	value: z.string().nullish(),
	resourceVersion: z.number(),
	deleted: z.boolean().nullish(),
});

const rowsSchema = z.object({
	rows: z.array(rowSchema), hasMore: z.boolean().nullish(), resourceVersion: z.number(), serverTimeMs: z.number().nullish(),
});

/** Rows requested in one call. */
const pageSize = 500;

/** Statuses that mean that nothing took effect. */
const refusedStatuses = new Set([400, 403, 429, 503, 507]);

/** Highest code point; as a suffix of a prefix it is the upper bound of the keys with that prefix. */
const highestCharacter = '\u{10FFFF}';

/** Name of the part that holds the rows of an unpartitioned table. */
const unpartitionedPart = '';

/**
 * Reads and writes rows of the store; every call has a timeout, and no call is retried.
 *
 * @example
 * ```ts
 * const store = new StoreClient({address: '10.200.1.7:8223'});
 * const rows = await store.readTable('servers');
 * ```
 */
export class StoreClient implements RowStore {
	readonly #address: string;
	readonly #timeoutMilliseconds: number;
	readonly #observe: NonNullable<StoreClientOptions['observe']>;
	readonly #agent = new Agent({keepAlive: true, maxFreeSockets: 4});
	readonly #clock: () => number;
	readonly #era = new StoreEra();

	constructor({
		address, timeoutMilliseconds = 900, observe = () => undefined, clock = () => performance.now(),
	}: StoreClientOptions) {
		this.#address = address;
		this.#timeoutMilliseconds = timeoutMilliseconds;
		this.#observe = observe;
		this.#clock = clock;
	}

	/** Largest era that the store has named; it rises each time the store comes back from an older copy. */
	get era(): number {
		return this.#era.newest;
	}

	/** Reads all rows of a table. */
	async readTable(table: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readAll(table, {from: ''}, signal);
	}

	/** Reads one row; the result contains no rows if it does not exist. */
	async readRow(table: string, key: string): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readAll(table, {from: key, to: `${key}\u0000`});
	}

	/** Reads up to `limit` rows of a table in key order, starting at a key. */
	async readSome(table: string, from: string, limit: number): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readPage(table, {from}, limit);
	}

	/** Reads the rows of a table whose keys start with a prefix. */
	async readPrefix(table: string, prefix: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readAll(table, {from: prefix, to: `${prefix}${highestCharacter}`}, signal);
	}

	/**
	 * Waits for changes to the rows of a table. Fails with `history-lost` if the store has come back from an older copy since the revision.
	 *
	 * @param table The table.
	 * @param revision Revision after which changes are returned.
	 * @param maximumWaitMilliseconds Time after which the store responds without a change.
	 * @param signal Aborts the call.
	 */
	async changes(table: string, revision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		const query = new URLSearchParams({table, afterRevision: String(versionOf(revision)), waitMs: String(waitMilliseconds)});
		const changed = await this.#readRows('follow', `/api/rows-feed?${query.toString()}`, waitMilliseconds + this.#timeoutMilliseconds, signal);
		return changed.andThen(rows => eraOf(rows.revision) === eraOf(revision) ? ok(rows) : err(restoredFailure));
	}

	/** Writes one row. */
	async writeRow({table, key, content, expectedRevision}: RowWrite): Promise<Result<WriteOutcome, StoreFailure>> {
		return this.transact({
			expected: expectedRevision === undefined ? [] : [{table, key, revision: expectedRevision}], puts: [{table, key, content}], removes: [],
		});
	}

	/**
	 * Writes and removes rows atomically. A condition on a revision of an earlier era is not met; if the store turns out to have come back from an
	 * older copy since, the outcome is unknown, as the version may have been given out again.
	 */
	async transact({expected, puts, removes}: Transaction): Promise<Result<WriteOutcome, StoreFailure>> {
		if (this.#isFromEarlierEra(expected)) {
			return ok({kind: 'conflict'});
		}

		const part = unpartitionedPart;
		const json = {
			expectedRevision: expected.map(({table, key, revision}) => ({
				table, part, key, resourceVersion: versionOf(revision),
			})),
			puts: puts.map(({table, key, content}) => ({
				table, part, key, value: Buffer.from(content).toString('base64'),
			})),
			remove: removes.map(({table, key}) => ({table, part, key})),
		};
		const response = await this.#call('write', {
			method: 'POST', path: '/api/rows-tx', json, timeoutMilliseconds: this.#timeoutMilliseconds,
		});
		return response.andThen(({status}): Result<WriteOutcome, StoreFailure> => {
			if (status === 200 && this.#isFromEarlierEra(expected)) {
				return err({...restoredFailure, kind: 'unknown'});
			}

			if (status === 200) {
				return ok({kind: 'committed'});
			}

			return status === 412 ? ok({kind: 'conflict'}) : err(toStoreFailure(status));
		});
	}

	/** Closes all connections. */
	close(): void {
		this.#agent.destroy();
	}

	/** Whether a condition names a revision of an earlier era, whose version may have been given out again. */
	#isFromEarlierEra(expected: Transaction['expected']): boolean {
		return expected.some(({revision}) => revision > 0 && eraOf(revision) < this.era);
	}

	async #readAll(table: string, range: {from: string; to?: string}, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		const rows: StoredRow[] = [];
		let {from} = range;
		for (;;) {
			const response = await this.#readPage(table, {...range, from}, pageSize, signal);
			if (response.isErr()) {
				return err(response.error);
			}

			if (rows.length > 0 && eraOf(rows[0]!.revision) !== eraOf(response.value.revision)) {
				return err(restoredFailure);
			}

			rows.push(...response.value.rows);
			const last = response.value.rows.at(-1);
			if (!response.value.hasMore || !last) {
				return ok({...response.value, rows});
			}

			from = `${last.key}\u0000`;
		}
	}

	async #readPage(table: string, range: {from: string; to?: string}, limit: number, signal?: AbortSignal): Promise<Result<StoredRows & {hasMore: boolean}, StoreFailure>> {
		const query = new URLSearchParams({
			table, part: unpartitionedPart, ...range, limit: String(limit),
		});
		return this.#readRows('read', `/api/rows-get?${query.toString()}`, this.#timeoutMilliseconds, signal);
	}

	async #readRows(operation: string, path: string, timeoutMilliseconds: number, signal?: AbortSignal): Promise<Result<StoredRows & {hasMore: boolean}, StoreFailure>> {
		const response = await this.#call(operation, {path, timeoutMilliseconds, signal});
		return response.andThen(({status, headers, body}): Result<StoredRows & {hasMore: boolean}, StoreFailure> => {
			if (status !== 200) {
				return err(toStoreFailure(status));
			}

			const era = decodeEra(headers);
			if (era < this.era) {
				return err({kind: 'unknown', message: 'the response is from before the store came back from an older copy'});
			}

			const parsed = rowsSchema.safeParse(parseJson(body));
			if (!parsed.success) {
				return err({kind: 'unknown', message: 'the response of the store is invalid'});
			}

			const {rows, hasMore, resourceVersion, serverTimeMs} = parsed.data;
			return ok({
				rows: rows.map(row => decodeRow(row, era)),
				hasMore: hasMore === true,
				revision: revisionOf(era, resourceVersion),
				storeMilliseconds: serverTimeMs ?? undefined,
				eraMilliseconds: this.#era.age(this.#clock()),
			});
		});
	}

	async #call(operation: string, options: Omit<HttpCallOptions, 'agent' | 'address'>): Promise<Result<HttpResponse, StoreFailure>> {
		const response = await httpCall({...options, agent: this.#agent, address: this.#address});
		this.#observe(operation, response.isOk() ? String(response.value.status) : 'failed', response.isOk() ? response.value.body.length : 0);
		this.#era.record(response.isOk() ? decodeEra(response.value.headers) : 0, this.#clock());
		return response.mapErr(({sent, message}) => ({kind: sent ? 'unknown' : 'refused', message: `the store did not respond: ${message}`}));
	}
}

function decodeRow({key, value, resourceVersion, deleted}: z.output<typeof rowSchema>, era: number): StoredRow {
	const content = deleted === true || typeof value !== 'string' ? undefined : Buffer.from(value, 'base64');
	return {key, content, revision: revisionOf(era, resourceVersion)};
}

const restoredFailure: StoreFailure = {kind: 'history-lost', message: 'the store came back from an older copy'};

function toStoreFailure(status: number): StoreFailure {
	if (status === 410) {
		return {kind: 'history-lost', message: 'the store no longer has the requested history'};
	}

	return {kind: refusedStatuses.has(status) ? 'refused' : 'unknown', message: `the store responded with status ${status}`};
}
