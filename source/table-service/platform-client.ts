/**
 * Client of the platform: table service, object store and host list.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {Pool} from 'undici';
import {type z} from 'zod';
import {isConnectError} from '../supervision/mod.ts';
import {decodeHosts, writtenHostListSchema, type Host} from './host-list-protocol.ts';
import {
	conflictSchema, rowsSchema, type ListRequest, type Operation, type Row, type RowKey,
} from './table-protocol.ts';

/**
 * Reason why the platform returned no usable response.
 *
 * `refused` means that nothing took effect: the platform rejected the request (503 or any 4xx, such as 429), or no connection was
 * established to send it. `unknown` means that a write may have taken effect although its response was lost.
 */
export type PlatformFailure = {kind: 'refused' | 'unknown'; message: string};

/** Outcome of a transaction: all operations took effect, or none because a condition did not hold. */
export type TransactOutcome = {kind: 'committed'} | {kind: 'conflict'; operation: number};

/** Options of {@linkcode PlatformClient}. */
export type PlatformClientOptions = {
	/** Base address of the platform. */
	url: string;
	/** Deadline of each request, in milliseconds. Default 2,000. */
	timeoutMilliseconds?: number;
	/** Called after each request with the total size of both bodies, in bytes. Default does nothing. */
	observe?: (operation: string, outcome: string, bytes: number) => void;
	/** Called with the reason for each host of a changed list that is skipped since it cannot be decoded. Default does nothing. */
	onSkippedHost?: (reason: string) => void;
};

/**
 * Sends requests to the platform; every request has a deadline and none is retried automatically.
 *
 * @example
 * ```ts
 * const platform = new PlatformClient({url: 'http://127.0.0.1:7000'});
 * const rows = await platform.read([{table: 'configuration', key: 'head'}]);
 * ```
 */
export class PlatformClient {
	readonly #pool: Pool;
	readonly #timeoutMilliseconds: number;
	readonly #observe: NonNullable<PlatformClientOptions['observe']>;
	readonly #onSkippedHost: NonNullable<PlatformClientOptions['onSkippedHost']>;
	#cachedHosts: {tag: string; hosts: Host[]} | undefined;

	constructor(options: PlatformClientOptions) {
		this.#timeoutMilliseconds = options.timeoutMilliseconds ?? 2000;
		this.#observe = options.observe ?? (() => undefined);
		this.#onSkippedHost = options.onSkippedHost ?? (() => undefined);
		this.#pool = new Pool(options.url, {connections: 8, pipelining: 1, connectTimeout: this.#timeoutMilliseconds});
	}

	/** Writes several rows atomically. */
	async transact(operations: Operation[]): Promise<Result<TransactOutcome, PlatformFailure>> {
		const answer = await this.#request('transact', 'POST', '/table/transact', {body: JSON.stringify({operations}), expected: 409});
		return answer.andThen(({status, body}): Result<TransactOutcome, PlatformFailure> => {
			if (status === 409) {
				return decode(conflictSchema, body).map(({conflict}) => ({kind: 'conflict' as const, operation: conflict}));
			}

			return ok({kind: 'committed'});
		});
	}

	/** Reads rows by key; rows that do not exist are omitted. */
	async read(keys: RowKey[]): Promise<Result<Row[], PlatformFailure>> {
		const answer = await this.#request('read', 'POST', '/table/read', {body: JSON.stringify({keys})});
		return answer.andThen(({body}) => decode(rowsSchema, body)).map(({rows}) => rows);
	}

	/** Lists rows of a table by key prefix, sorted by key. */
	async list(request: ListRequest): Promise<Result<Row[], PlatformFailure>> {
		const answer = await this.#request('list', 'POST', '/table/list', {body: JSON.stringify(request)});
		return answer.andThen(({body}) => decode(rowsSchema, body)).map(({rows}) => rows);
	}

	/** Stores an object under a name; storing the same name and content again is allowed. */
	async putObject(name: string, content: string): Promise<Result<void, PlatformFailure>> {
		const answer = await this.#request('put_object', 'PUT', `/objects/${encodeURIComponent(name)}`, {body: content});
		return answer.map(() => undefined);
	}

	/** Reads an object; `undefined` when there is none. */
	async getObject(name: string): Promise<Result<string | undefined, PlatformFailure>> {
		const answer = await this.#request('get_object', 'GET', `/objects/${encodeURIComponent(name)}`, {expected: 404});
		return answer.map(({status, body}) => status === 404 ? undefined : body);
	}

	/** Reads the list of live and leaving hosts; an unchanged list is not transferred again (`ETag`). */
	async hosts(): Promise<Result<Host[], PlatformFailure>> {
		const last = this.#cachedHosts;
		const answer = await this.#request('hosts', 'GET', '/hosts', {headers: last ? {'if-none-match': last.tag} : {}, expected: 304});
		return answer.andThen(({status, body, tag}): Result<Host[], PlatformFailure> => {
			if (status === 304 && last) {
				return ok(last.hosts);
			}

			return decode(writtenHostListSchema, body).map(({hosts: written}) => {
				const {hosts, skipped} = decodeHosts(written);
				for (const reason of skipped) {
					this.#onSkippedHost(reason);
				}

				this.#cachedHosts = tag === undefined ? undefined : {tag, hosts};
				return hosts;
			});
		});
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #request(operation: string, method: 'GET' | 'POST' | 'PUT', path: string, content: RequestOptions = {}): Promise<Result<PlatformResponse, PlatformFailure>> {
		const answer = await this.#send(operation, method, path, content);
		const outcome = answer.andThen((response): Result<PlatformResponse, PlatformFailure> => response.status < 300 || response.status === content.expected
			? ok(response)
			: err({kind: isRefusalStatus(response.status) ? 'refused' : 'unknown', message: `platform returned status ${response.status} for ${operation}`}));
		const bytes = answer.isOk() ? answer.value.body.length + (content.body?.length ?? 0) : 0;
		this.#observe(operation, outcome.isOk() ? 'answered' : outcome.error.kind, bytes);
		return outcome;
	}

	async #send(operation: string, method: 'GET' | 'POST' | 'PUT', path: string, content: RequestOptions): Promise<Result<PlatformResponse, PlatformFailure>> {
		try {
			const response = await this.#pool.request({
				method,
				path,
				body: content.body,
				headers: {'content-type': 'application/json', ...content.headers},
				signal: AbortSignal.timeout(this.#timeoutMilliseconds),
			});
			const {etag} = response.headers;
			return ok({status: response.statusCode, body: await response.body.text(), tag: typeof etag === 'string' ? etag : undefined});
		} catch (error) {
			return err({kind: isConnectError(error) ? 'refused' : 'unknown', message: `platform did not answer ${operation}: ${String(error)}`});
		}
	}
}

/** Body and headers of a request, and the non-2xx status that is also a valid response. */
type RequestOptions = {body?: string; headers?: Record<string, string>; expected?: number};

type PlatformResponse = {status: number; body: string; tag: string | undefined};

/** Returns whether a status implies that nothing took effect; a gateway's 502 or 504 does not. */
function isRefusalStatus(status: number): boolean {
	return (status >= 400 && status < 500) || status === 503;
}

function decode<Schema extends z.ZodType>(schema: Schema, body: string): Result<z.output<Schema>, PlatformFailure> {
	try {
		const checked = schema.safeParse(JSON.parse(body));
		return checked.success ? ok(checked.data) : err({kind: 'unknown', message: `unexpected response from the platform: ${checked.error.message}`});
	} catch {
		return err({kind: 'unknown', message: 'the platform\'s response is not JSON'});
	}
}
