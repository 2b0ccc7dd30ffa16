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

/** Why a short request failed: `refused` with the engine's code, or no usable answer. */
export type EngineFailure = {kind: 'refused'; code: string; message: string} | {kind: 'unreachable'; message: string; connectionRefused: boolean};

/** Options of {@linkcode EngineClient}. */
export type EngineClientOptions = {
	/** Deadline of each request, in milliseconds. Default 1,000. */
	timeoutMilliseconds?: number;
	/** Called with the bytes of both bodies of each answered request. Default does nothing. */
	countBytes?: (bytes: number) => void;
};

/** Content of a request, and its deadline if it is not the client's. */
type SendOptions = {content?: unknown; timeoutMilliseconds?: number};

/**
 * Sends short requests to any engine, each with a deadline.
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

	/** Cancels a generation unless a newer attempt has taken it over. */
	async cancel(address: string, generation: string, attempt: number): Promise<Result<void, EngineFailure>> {
		const answer = await this.#send(address, 'POST', `/v1/generations/${generation}/cancel`, {content: {attempt}});
		return answer.map(() => undefined);
	}

	/** Reads the load that an engine reports, with a lag. */
	async load(address: string): Promise<Result<EngineLoad, EngineFailure>> {
		return decode(loadSchema, await this.#send(address, 'GET', '/v1/load'));
	}

	/** Orders an engine into a state within a time in milliseconds; an engine that checks refuses an old fencing number. */
	async order(address: string, order: EngineOrder, timeoutMilliseconds = this.#timeoutMilliseconds): Promise<Result<void, EngineFailure>> {
		const answer = await this.#send(address, 'POST', '/v1/orders', {content: order, timeoutMilliseconds});
		return answer.map(() => undefined);
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
			const answer: unknown = JSON.parse(text);
			if (response.statusCode < 300) {
				return ok(answer);
			}

			const refusal = engineErrorSchema.safeParse(answer);
			return err(refusal.success
				? {kind: 'refused', ...refusal.data.error}
				: {kind: 'unreachable', message: `the engine answered ${response.statusCode}`, connectionRefused: false});
		} catch (error) {
			return err({kind: 'unreachable', message: String(error), connectionRefused: isConnectionRefused(error)});
		}
	}
}

function decode<Schema extends z.ZodType>(schema: Schema, answer: Result<unknown, EngineFailure>): Result<z.output<Schema>, EngineFailure> {
	return answer.andThen((body): Result<z.output<Schema>, EngineFailure> => {
		const checked = schema.safeParse(body);
		return checked.success ? ok(checked.data) : err({kind: 'unreachable', message: `unexpected answer: ${checked.error.message}`, connectionRefused: false});
	});
}
