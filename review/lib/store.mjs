/**
 * A small stand-in of the platform's store: rows in tables, conditional transactions, a feed, and the drill in which it comes back from a copy.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';

const nameOf = ({table, part = '', key}) => JSON.stringify([table, part, key]);

/** Tables that the system may not write. */
const protectedTables = new Set(['op', 'servers']);

export class Store {
	/** Whether calls are served; while the store is away, connections are closed without an answer. */
	isAway = false;
	era = 1;
	#version = 1;
	#historyFrom = 0;
	#rows = new Map();
	#waiters = new Set();
	#server;

	async start(address) {
		const [host, port] = address.split(':');
		this.#server = createServer((request, response) => {
			this.#serve(request, response).catch(() => {
				response.destroy();
			});
		});
		this.#server.listen(Number(port), host);
		await once(this.#server, 'listening');
	}

	/** Writes a row as the operator or a worker does. */
	put(table, key, content) {
		this.#version += 1;
		this.#set({
			table, part: '', key, value: Buffer.from(JSON.stringify(content)).toString('base64'), resourceVersion: this.#version,
		});
	}

	/** Removes a row. */
	remove(table, key) {
		if (!this.#rows.has(nameOf({table, key}))) {
			return;
		}

		this.#version += 1;
		this.#set({
			table, part: '', key, value: '', resourceVersion: this.#version, deleted: true,
		});
	}

	copy() {
		return {version: this.#version, rows: new Map(this.#rows)};
	}

	/** Comes back from a copy: versions go back, and the era rises by one. */
	restore({version, rows}) {
		this.era += 1;
		this.#version = version;
		this.#historyFrom = Math.min(this.#historyFrom, version);
		this.#rows = new Map(rows);
		this.#wake();
	}

	goAway() {
		this.isAway = true;
		this.#server.closeAllConnections();
		this.#wake();
	}

	close() {
		this.isAway = true;
		this.#server?.close();
		this.#server?.closeAllConnections();
		this.#wake();
	}

	async #serve(request, response) {
		const body = await text(request);
		if (this.isAway) {
			response.destroy();
			return;
		}

		const url = new URL(request.url, 'http://store');
		const handlers = {
			'POST /api/rows-tx': () => this.#transact(JSON.parse(body), response),
			'GET /api/rows-get': () => this.#read(url.searchParams, response),
			'GET /api/rows-feed': () => this.#follow(url.searchParams, response),
		};
		const handler = handlers[`${request.method} ${url.pathname}`];
		await (handler ? handler() : this.#answer(response, 404, {}));
	}

	#transact({expectedRevision = [], puts = [], remove = []}, response) {
		if ([...puts, ...remove].some(({table}) => protectedTables.has(table))) {
			this.#answer(response, 403, {});
			return;
		}

		if (expectedRevision.some(row => this.#versionOf(row) !== row.resourceVersion)) {
			this.#answer(response, 412, {rows: expectedRevision.map(row => this.#rows.get(nameOf(row))).filter(row => row && !row.deleted)});
			return;
		}

		this.#version += 1;
		for (const row of puts) {
			this.#set({part: '', ...row, resourceVersion: this.#version});
		}

		for (const row of remove) {
			this.#set({
				part: '', ...row, value: '', resourceVersion: this.#version, deleted: true,
			});
		}

		this.#answer(response, 200, {});
	}

	#read(query, response) {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const limit = Math.min(500, Number(query.get('limit') ?? '500'));
		const rows = [...this.#rows.values()]
			.filter(({table, key, deleted}) => table === query.get('table') && !deleted && key >= from && (to === null || key < to))
			.toSorted((one, other) => one.key < other.key ? -1 : 1);
		this.#answer(response, 200, {rows: rows.slice(0, limit), hasMore: rows.length > limit});
	}

	async #follow(query, response) {
		const {era} = this;
		const after = Number(query.get('afterRevision'));
		const until = performance.now() + Number(query.get('waitMs'));
		for (;;) {
			if (this.isAway) {
				response.destroy();
				return;
			}

			if (after < this.#historyFrom || after > this.#version || era !== this.era) {
				this.#answer(response, 410, {});
				return;
			}

			const rows = [...this.#rows.values()].filter(({table, resourceVersion}) => table === query.get('table') && resourceVersion > after);
			const left = until - performance.now();
			if (rows.length > 0 || left <= 0) {
				this.#answer(response, 200, {rows: rows.toSorted((one, other) => one.resourceVersion - other.resourceVersion)});
				return;
			}

			await this.#change(left);
		}
	}

	async #change(milliseconds) {
		await new Promise(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.#waiters.delete(done);
				resolve();
			};

			const timer = setTimeout(done, milliseconds);
			this.#waiters.add(done);
		});
	}

	#answer(response, status, content) {
		response.writeHead(status, {'content-type': 'application/json', 'store-era': String(this.era)});
		response.end(JSON.stringify({...content, resourceVersion: this.#version, serverTimeMs: Math.round(performance.now())}));
	}

	#versionOf(place) {
		const row = this.#rows.get(nameOf(place));
		return !row || row.deleted ? 0 : row.resourceVersion;
	}

	#set(row) {
		this.#rows.set(nameOf(row), row);
		this.#wake();
	}

	#wake() {
		for (const waiter of this.#waiters) {
			waiter();
		}
	}
}
