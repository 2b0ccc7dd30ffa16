/**
 * A stand-in of the platform's store, by its published protocol: rows in tables, a feed of changes, and faults.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type Server, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {answer, serveJson, type Exchange} from './control.ts';

type Row = {table: string; part: string; key: string; value: string; resourceVersion: number; deleted?: boolean};

/** A copy of the store's content. */
export type StoreCopy = {revision: number; rows: ReadonlyMap<string, Row>};

type RowPlace = {table: string; part: string; key: string};

type TransactionBody = {
	expectedRevision: Array<RowPlace & {resourceVersion: number}>;
	puts: Array<RowPlace & {value: string}>;
	remove: RowPlace[];
};

/**
 * What the store does with calls: it serves them, refuses them, resets connections, says nothing, is slow, loses answers of writes, or
 * loses them and writes seconds later.
 */
export type StoreFault = 'none' | 'busy' | 'reset' | 'silent' | 'slow' | 'lose-answers' | 'late-writes';

/** Time of an answer of a slow store, in milliseconds. */
const slowMilliseconds = 800;

/** Time after which a late write is done, in milliseconds. */
const lateWriteMilliseconds = 2000;

/**
 * The store, in the process of a test.
 *
 * @example
 * ```ts
 * const store = await StoreStandIn.start('127.0.0.1:7000');
 * store.put('op', 'config', configuration);
 * ```
 */
export class StoreStandIn {
	static async start(listen: string): Promise<StoreStandIn> {
		const store = new StoreStandIn();
		store.#server = await serveJson(listen, {
			'POST /api/rows-tx': async exchange => store.#serve(exchange, () => {
				store.#transact(exchange);
			}),
			'GET /api/rows-get': async exchange => store.#serve(exchange, () => {
				store.#read(exchange);
			}),
			'GET /api/rows-feed': async exchange => store.#serve(exchange, async () => store.#follow(exchange)),
		});
		return store;
	}

	fault: StoreFault = 'none';
	/** Number of times that the store came back from a copy; each answer names it. */
	era = 0;
	/** Calls served, by path. */
	readonly calls = new Map<string, number>();
	#server: Server | undefined;
	#revision = 1;
	#historyFrom = 0;
	readonly #rows = new Map<string, Row>();
	/** Number of the write that each row comes from, in all eras. */
	readonly #writeNumbers = new WeakMap<Row, number>();
	#writes = 0;
	readonly #waiters = new Set<() => void>();

	/** Writes a row as the operator or an endpoint does. */
	put(table: string, key: string, content: unknown): void {
		this.#revision += 1;
		const value = Buffer.from(typeof content === 'string' ? content : JSON.stringify(content)).toString('base64');
		this.#set({
			table, part: '', key, value, resourceVersion: this.#revision,
		});
	}

	/** Reads a row as the operator does; undefined if there is none. */
	get(table: string, key: string): unknown {
		const row = this.#rows.get(nameOf({table, part: '', key}));
		return row && !row.deleted ? JSON.parse(Buffer.from(row.value, 'base64').toString()) : undefined;
	}

	/** Removes a row. */
	remove(table: string, key: string): void {
		this.#revision += 1;
		this.#set({
			table, part: '', key, value: '', resourceVersion: this.#revision, deleted: true,
		});
	}

	/** Copies the rows and their versions, for {@linkcode StoreStandIn.restore}. */
	copy(): StoreCopy {
		return {revision: this.#revision, rows: new Map(this.#rows)};
	}

	/** Comes back from a copy: what was written since is gone, and versions go back to those of the copy. */
	restore({revision, rows}: StoreCopy): void {
		this.era += 1;
		this.#revision = revision;
		this.#historyFrom = Math.min(this.#historyFrom, revision);
		this.#rows.clear();
		for (const [name, row] of rows) {
			this.#rows.set(name, row);
		}

		this.#wake();
	}

	/**
	 * Writes again what a return from a copy has lost in some tables. The latest write of a row stays, also where several returns overlap:
	 * versions of different eras cannot be compared.
	 *
	 * @param before Content before the return.
	 * @param tables Names of the tables.
	 */
	rewrite(before: StoreCopy, tables: readonly string[]): void {
		for (const [name, row] of before.rows) {
			if (tables.includes(row.table) && this.#writeNumberOf(row) > this.#writeNumberOf(this.#rows.get(name))) {
				this.#revision += 1;
				this.#set({...row, resourceVersion: this.#revision}, this.#writeNumberOf(row));
			}
		}
	}

	/** Forgets which rows changed up to now. */
	dropHistory(): void {
		this.#historyFrom = this.#revision;
		this.#wake();
	}

	/** Stops the store. */
	close(): void {
		this.#server?.close();
		this.#server?.closeAllConnections();
		this.#wake();
	}

	async #serve(exchange: Exchange, serve: () => Promise<void> | void): Promise<void> {
		exchange.response.setHeader('store-era', String(this.era));
		const {pathname} = exchange.url;
		this.calls.set(pathname, (this.calls.get(pathname) ?? 0) + 1);
		switch (this.fault) {
			case 'busy': {
				answer(exchange.response, 503, {});
				return;
			}

			case 'reset': {
				exchange.response.socket?.resetAndDestroy();
				return;
			}

			case 'silent': {
				return;
			}

			case 'slow': {
				await delay(slowMilliseconds);
				return serve();
			}

			case 'late-writes':
			case 'lose-answers':
			case 'none': {
				return serve();
			}
		}
	}

	#transact(exchange: Exchange): void {
		if (this.fault === 'late-writes') {
			exchange.response.destroy();
			setTimeout(() => {
				this.#apply(exchange);
			}, lateWriteMilliseconds);
			return;
		}

		this.#apply(exchange);
	}

	#apply({body, response}: Exchange): void {
		const {expectedRevision, puts, remove} = body as TransactionBody;
		const wrong = expectedRevision.some(expected => this.#revisionOf(expected) !== expected.resourceVersion);
		if (wrong) {
			this.#answer(response, 412, {rows: []});
			return;
		}

		this.#revision += 1;
		for (const row of puts) {
			this.#set({...row, resourceVersion: this.#revision});
		}

		for (const row of remove) {
			this.#set({
				...row, value: '', resourceVersion: this.#revision, deleted: true,
			});
		}

		if (this.fault === 'lose-answers') {
			response.destroy();
			return;
		}

		this.#answer(response, 200, {});
	}

	/** Revision of a row; 0 if there is none, also where one was removed. */
	#revisionOf(place: RowPlace): number {
		const row = this.#rows.get(nameOf(place));
		return !row || row.deleted ? 0 : row.resourceVersion;
	}

	#read({url, response}: Exchange): void {
		const table = url.searchParams.get('table');
		const from = url.searchParams.get('from') ?? '';
		const to = url.searchParams.get('to');
		const limit = Number(url.searchParams.get('limit') ?? '500');
		const rows = [...this.#rows.values()]
			.filter(row => row.table === table && !row.deleted && row.key >= from && (to === null || row.key < to))
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		this.#answer(response, 200, {rows: rows.slice(0, limit), hasMore: rows.length > limit});
	}

	async #follow({url, response}: Exchange): Promise<void> {
		const {era} = this;
		const table = url.searchParams.get('table');
		const after = Number(url.searchParams.get('afterRevision'));
		const until = performance.now() + Number(url.searchParams.get('waitMs'));
		for (;;) {
			if (after < this.#historyFrom || after > this.#revision || era !== this.era) {
				this.#answer(response, 410, {});
				return;
			}

			const rows = [...this.#rows.values()].filter(row => row.table === table && row.resourceVersion > after);
			const left = until - performance.now();
			if (rows.length > 0 || left <= 0) {
				this.#answer(response, 200, {rows: rows.toSorted((one, other) => one.resourceVersion - other.resourceVersion)});
				return;
			}

			await this.#change(left);
		}
	}

	async #change(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.#waiters.delete(done);
				resolve();
			};

			const timer = setTimeout(done, milliseconds);
			this.#waiters.add(done);
		});
	}

	#answer(response: ServerResponse, status: number, content: Record<string, unknown>): void {
		answer(response, status, {...content, resourceVersion: this.#revision, serverTimeMs: Math.round(performance.now())});
	}

	#set(row: Row, writeNumber = this.#writes + 1): void {
		this.#writes = Math.max(this.#writes, writeNumber);
		this.#writeNumbers.set(row, writeNumber);
		this.#rows.set(nameOf(row), row);
		this.#wake();
	}

	#writeNumberOf(row: Row | undefined): number {
		return (row && this.#writeNumbers.get(row)) ?? 0;
	}

	#wake(): void {
		for (const waiter of this.#waiters) {
			waiter();
		}
	}
}

function nameOf({table, part, key}: RowPlace): string {
	return JSON.stringify([table, part, key]);
}
