/**
 * Client of the platform's store: rows in tables, with a feed of their changes.
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
	httpCall, parseJson, type HttpAnswer, type HttpCallOptions,
} from './http-call.ts';

/** One row, or the fact that it was removed. */
export type StoredRow = {
	key: string;
	/** Content; absent when the row was removed. */
	content: Uint8Array | undefined;
	/** Rises with each write of the store. */
	revision: number;
};

/** Rows of a table as of one moment. */
export type StoredRows = {
	rows: StoredRow[];
	/** Newest revision of the whole store at that moment. */
	revision: number;
	/** The store's steady time at that moment, in milliseconds; absent where it does not say. */
	storeMilliseconds: number | undefined;
};

/**
 * Why the store gave no usable answer: `history-lost` asks for reading the whole table; `refused` means that nothing took effect;
 * `unknown` means that a write may have taken effect or may still do so.
 */
export type StoreFailure = {kind: 'history-lost' | 'refused' | 'unknown'; message: string};

/** Outcome of a conditional write. */
export type WriteOutcome = {kind: 'committed'} | {kind: 'conflict'};

/** A row to write, and the revision that it must have; 0 means that it must not exist, absent means any. */
export type RowWrite = {table: string; key: string; content: string; expectedRevision?: number};

/** Where a row stands. */
export type RowPlace = {table: string; key: string};

/** Rows to write and to remove together, if the rows in `expected` have the revisions named there; 0 means that a row must not exist. */
export type Transaction = {
	expected: ReadonlyArray<RowPlace & {revision: number}>;
	puts: ReadonlyArray<RowPlace & {content: string}>;
	removes: readonly RowPlace[];
};

/** Options of {@linkcode StoreClient}. */
export type StoreClientOptions = {
	/** IP number and port. */
	address: string;
	/** Deadline of a call beyond the time that the store is asked to wait, in milliseconds. Default 900. */
	timeoutMilliseconds?: number;
	/** Called after each call. Default does nothing. */
	observe?: (operation: string, outcome: string, bytes: number) => void;
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

/** Rows asked for in one call. */
const rowsPerCall = 500;

/** Statuses that say that nothing took effect. */
const refusedStatuses = new Set([400, 403, 429, 503, 507]);

/** Sorts behind each character of keys that share a prefix. */
const lastCharacter = '\u{10FFFF}';

/** Name under which the store keeps the part of a table that is not divided. */
const undividedPart = '';

/**
 * Speaks to the store; every call has a deadline and none is repeated by itself.
 *
 * @example
 * ```ts
 * const store = new StoreClient({address: '10.200.1.7:8223'});
 * const rows = await store.readTable('servers');
 * ```
 */
export class StoreClient {
	readonly #address: string;
	readonly #timeoutMilliseconds: number;
	readonly #observe: NonNullable<StoreClientOptions['observe']>;
	readonly #agent = new Agent({keepAlive: true, maxFreeSockets: 4});

	constructor({address, timeoutMilliseconds = 900, observe = () => undefined}: StoreClientOptions) {
		this.#address = address;
		this.#timeoutMilliseconds = timeoutMilliseconds;
		this.#observe = observe;
	}

	/** Reads all rows of a table. */
	async readTable(table: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readAll(table, {from: ''}, signal);
	}

	/** Reads one row; there is none in the answer where it does not exist. */
	async readRow(table: string, key: string): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readAll(table, {from: key, to: `${key}\u0000`});
	}

	/** Reads some rows of a table, from a key on, in the order of their keys. */
	async readSome(table: string, from: string, limit: number): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readPage(table, {from}, limit);
	}

	/** Reads the rows of a table whose keys begin with a text. */
	async readPrefix(table: string, prefix: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		return this.#readAll(table, {from: prefix, to: `${prefix}${lastCharacter}`}, signal);
	}

	/**
	 * Waits until rows of a table change.
	 *
	 * @param table The table.
	 * @param revision Changes after this revision are wanted.
	 * @param maximumWaitMilliseconds Time after which the store answers without a change.
	 * @param signal Ends the call early.
	 */
	async changes(table: string, revision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		const query = new URLSearchParams({table, afterRevision: String(revision), waitMs: String(waitMilliseconds)});
		return this.#readRows('follow', `/api/rows-feed?${query.toString()}`, waitMilliseconds + this.#timeoutMilliseconds, signal);
	}

	/** Writes one row. */
	async writeRow({table, key, content, expectedRevision}: RowWrite): Promise<Result<WriteOutcome, StoreFailure>> {
		return this.transact({
			expected: expectedRevision === undefined ? [] : [{table, key, revision: expectedRevision}], puts: [{table, key, content}], removes: [],
		});
	}

	/** Writes and removes rows, all of them or none. */
	async transact({expected, puts, removes}: Transaction): Promise<Result<WriteOutcome, StoreFailure>> {
		const part = undividedPart;
		const json = {
			expectedRevision: expected.map(({table, key, revision}) => ({
				table, part, key, resourceVersion: revision,
			})),
			puts: puts.map(({table, key, content}) => ({
				table, part, key, value: Buffer.from(content).toString('base64'),
			})),
			remove: removes.map(({table, key}) => ({table, part, key})),
		};
		const answer = await this.#call('write', {
			method: 'POST', path: '/api/rows-tx', json, timeoutMilliseconds: this.#timeoutMilliseconds,
		});
		return answer.andThen(({status}): Result<WriteOutcome, StoreFailure> => {
			if (status === 200) {
				return ok({kind: 'committed'});
			}

			return status === 412 ? ok({kind: 'conflict'}) : err(failureOf(status));
		});
	}

	/** Closes all connections. */
	close(): void {
		this.#agent.destroy();
	}

	async #readAll(table: string, range: {from: string; to?: string}, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>> {
		const rows: StoredRow[] = [];
		let {from} = range;
		for (;;) {
			const answer = await this.#readPage(table, {...range, from}, rowsPerCall, signal);
			if (answer.isErr()) {
				return err(answer.error);
			}

			rows.push(...answer.value.rows);
			const last = answer.value.rows.at(-1);
			if (!answer.value.hasMore || !last) {
				return ok({...answer.value, rows});
			}

			from = `${last.key}\u0000`;
		}
	}

	async #readPage(table: string, range: {from: string; to?: string}, limit: number, signal?: AbortSignal): Promise<Result<StoredRows & {hasMore: boolean}, StoreFailure>> {
		const query = new URLSearchParams({
			table, part: undividedPart, ...range, limit: String(limit),
		});
		return this.#readRows('read', `/api/rows-get?${query.toString()}`, this.#timeoutMilliseconds, signal);
	}

	async #readRows(operation: string, path: string, timeoutMilliseconds: number, signal?: AbortSignal): Promise<Result<StoredRows & {hasMore: boolean}, StoreFailure>> {
		const answer = await this.#call(operation, {path, timeoutMilliseconds, signal});
		return answer.andThen(({status, body}): Result<StoredRows & {hasMore: boolean}, StoreFailure> => {
			if (status !== 200) {
				return err(failureOf(status));
			}

			const checked = rowsSchema.safeParse(parseJson(body));
			if (!checked.success) {
				return err({kind: 'unknown', message: 'the answer of the store cannot be read'});
			}

			const {rows, hasMore, resourceVersion, serverTimeMs} = checked.data;
			return ok({
				rows: rows.map(row => decodeRow(row)), hasMore: hasMore === true, revision: resourceVersion, storeMilliseconds: serverTimeMs ?? undefined,
			});
		});
	}

	async #call(operation: string, options: Omit<HttpCallOptions, 'agent' | 'address'>): Promise<Result<HttpAnswer, StoreFailure>> {
		const answer = await httpCall({...options, agent: this.#agent, address: this.#address});
		this.#observe(operation, answer.isOk() ? String(answer.value.status) : 'failed', answer.isOk() ? answer.value.body.length : 0);
		return answer.mapErr(({sent, message}) => ({kind: sent ? 'unknown' : 'refused', message: `the store did not answer: ${message}`}));
	}
}

function decodeRow({key, value, resourceVersion, deleted}: z.output<typeof rowSchema>): StoredRow {
	const content = deleted === true || typeof value !== 'string' ? undefined : Buffer.from(value, 'base64');
	return {key, content, revision: resourceVersion};
}

function failureOf(status: number): StoreFailure {
	if (status === 410) {
		return {kind: 'history-lost', message: 'the store has dropped the history that was asked for'};
	}

	return {kind: refusedStatuses.has(status) ? 'refused' : 'unknown', message: `the store answered ${status}`};
}
