/**
 * Port to the store: rows in tables, conditional writes and a change feed.
 *
 * @module
 */
import {type Result} from 'neverthrow';

/** A row, or a tombstone of a removed row. */
export type StoredRow = {
	key: string;
	/** Content; `undefined` if the row was removed. */
	content: Uint8Array | undefined;
	/** Revision of the row's last write; increases with each write to the store, also across its return from an older copy. */
	revision: number;
};

/** Rows of a table at one point in time. */
export type StoredRows = {
	rows: StoredRow[];
	/** Newest revision of the whole store at that time. */
	revision: number;
	/** The store's monotonic time then, in milliseconds; `undefined` if it does not report it. */
	storeMilliseconds: number | undefined;
	/** Time since this client first saw the present era, in milliseconds: the store has not come back from an older copy since. Absent if that is not known. */
	eraMilliseconds?: number;
};

/**
 * Reason why the store gave no usable response: `history-lost` requires reading the whole table again; `refused` means that nothing took effect;
 * `unknown` means that a write may have taken effect or may still do so.
 */
export type StoreFailure = {kind: 'history-lost' | 'refused' | 'unknown'; message: string};

/** Outcome of a conditional write. */
export type WriteOutcome = {kind: 'committed'} | {kind: 'conflict'};

/** A row to write, and the revision that it must have: 0 if it must not exist, absent if any revision is accepted. */
export type RowWrite = {table: string; key: string; content: string; expectedRevision?: number};

/** Table and key of a row. */
export type RowLocation = {table: string; key: string};

/** Rows to write and to remove atomically, on condition that the rows in `expected` have the given revisions; 0 means that a row must not exist. */
export type Transaction = {
	expected: ReadonlyArray<RowLocation & {revision: number}>;
	puts: ReadonlyArray<RowLocation & {content: string}>;
	removes: readonly RowLocation[];
};

/** Reads and writes rows; no call rejects, and none is retried. */
export type RowStore = {
	/** Largest era that the store has named; it rises each time the store comes back from an older copy. */
	readonly era: number;
	/** Reads all rows of a table. */
	readTable(table: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>>;
	/** Reads one row; the result contains no rows if it does not exist. */
	readRow(table: string, key: string): Promise<Result<StoredRows, StoreFailure>>;
	/** Reads up to `limit` rows of a table in key order, starting at a key. */
	readSome(table: string, from: string, limit: number): Promise<Result<StoredRows, StoreFailure>>;
	/** Reads the rows of a table whose keys start with a prefix. */
	readPrefix(table: string, prefix: string, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>>;
	/** Waits up to a time in milliseconds for changes after a revision; fails with `history-lost` if these are not available any more. */
	changes(table: string, revision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoredRows, StoreFailure>>;
	/** Writes one row. */
	writeRow(write: RowWrite): Promise<Result<WriteOutcome, StoreFailure>>;
	/** Writes and removes rows atomically. */
	transact(transaction: Transaction): Promise<Result<WriteOutcome, StoreFailure>>;
};
