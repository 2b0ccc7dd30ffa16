/**
 * Short requests to engines: cancel, load, orders and cache events.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {Agent, request} from 'undici';
import {type z} from 'zod';
import {isConnectionRefused} from './connection-refused.ts';
import {
	cacheEventsSchema, engineErrorSchema, loadSchema, type CacheEvents, type EngineLoad, type EngineOrder,
} from './engine-protocol.ts';

/** Reason why a short request failed: refused with the engine's code, or no usable response. */
export type EngineFailure = {kind: 'refused'; code: string; message: string} | {kind: 'unreachable'; message: string; connectionRefused: boolean};

/** Options of {@linkcode EngineClient}. */
export type EngineClientOptions = {
	/** Timeout of each request, in milliseconds. Default 1,000. */
	timeoutMilliseconds?: number;
	/** Called with the total length of the request and response bodies of each request that gets a response. Default does nothing. */
	countBytes?: (bytes: number) => void;
};

/** Content of a request, and a timeout that overrides the client's. */
type SendOptions = {content?: unknown; timeoutMilliseconds?: number};

/**
 * Sends short requests to any engine, each with a timeout.
 *
 * @example
 * ```ts
 * const load = await new EngineClient().load('127.0.0.1:9000');
 * ```
 */
export class EngineClient {
	readonly #agent: Agent;
	readonly #timeoutMilliseconds: number;
	readonly #countBytes: (bytes: number) => void;

	constructor(options: EngineClientOptions = {}) {
		this.#timeoutMilliseconds = options.timeoutMilliseconds ?? 1000;
		this.#countBytes = options.countBytes ?? (() => undefined);
		this.#agent = new Agent({connections: 2, keepAliveTimeout: 4000, connectTimeout: this.#timeoutMilliseconds});
	}

	/** Cancels a generation unless a newer attempt has superseded it. */
	async cancel(address: string, generation: string, attempt: number): Promise<Result<void, EngineFailure>> {
		const response = await this.#send(address, 'POST', `/v1/generations/${generation}/cancel`, {content: {attempt}});
		return response.map(() => undefined);
	}

	/** Reads the load that an engine reports; the figures lag behind. */
	async load(address: string): Promise<Result<EngineLoad, EngineFailure>> {
		return decode(loadSchema, await this.#send(address, 'GET', '/v1/load'));
	}

	/** Orders an engine into a state, with a timeout in milliseconds; an engine that checks fencing numbers refuses an old one. */
	async order(address: string, order: EngineOrder, timeoutMilliseconds = this.#timeoutMilliseconds): Promise<Result<void, EngineFailure>> {
		const response = await this.#send(address, 'POST', '/v1/orders', {content: order, timeoutMilliseconds});
		return response.map(() => undefined);
	}

	/** Reads the cache events after a sequence number. */
	async cacheEvents(address: string, after: number): Promise<Result<CacheEvents, EngineFailure>> {
		return decode(cacheEventsSchema, await this.#send(address, 'GET', `/v1/cache_events?after=${after}`));
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #send(address: string, method: 'GET' | 'POST', path: string, options: SendOptions = {}): Promise<Result<unknown, EngineFailure>> {
		const {content, timeoutMilliseconds = this.#timeoutMilliseconds} = options;
		const body = content === undefined ? undefined : JSON.stringify(content);
		try {
			const response = await request(`http://${address}${path}`, {
				dispatcher: this.#agent,
				method,
				headers: {'content-type': 'application/json'},
				body,
				signal: AbortSignal.timeout(timeoutMilliseconds),
			});
			const text = await response.body.text();
			this.#countBytes(text.length + (body?.length ?? 0));
			const decoded: unknown = JSON.parse(text);
			if (response.statusCode < 300) {
				return ok(decoded);
			}

			const refusal = engineErrorSchema.safeParse(decoded);
			return err(refusal.success
				? {kind: 'refused', ...refusal.data.error}
				: {kind: 'unreachable', message: `the engine responded with status ${response.statusCode}`, connectionRefused: false});
		} catch (error) {
			return err({kind: 'unreachable', message: String(error), connectionRefused: isConnectionRefused(error)});
		}
	}
}

function decode<Schema extends z.ZodType>(schema: Schema, response: Result<unknown, EngineFailure>): Result<z.output<Schema>, EngineFailure> {
	return response.andThen((body): Result<z.output<Schema>, EngineFailure> => {
		const parsed = schema.safeParse(body);
		return parsed.success ? ok(parsed.data) : err({kind: 'unreachable', message: `unexpected response: ${parsed.error.message}`, connectionRefused: false});
	});
}
