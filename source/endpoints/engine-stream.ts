/**
 * One stream of events from an engine, on a connection of its own.
 *
 * @module
 */
import {createParser} from 'eventsource-parser';
import {
	err, ok, type Result,
} from 'neverthrow';
import {Client, type Dispatcher} from 'undici';
import {isConnectionRefused} from './connection-refused.ts';
import {
	engineErrorSchema, engineEventSchema, type EngineErrorCode, type EngineEvent, type EngineRequest,
} from './engine-protocol.ts';

/** Why a stream could not be opened. */
export type OpenFailure
	= | {kind: 'unreachable'; message: string; crashed: boolean; connectionRefused: boolean}
		| {kind: 'refused'; code: EngineErrorCode; message: string};

/** What the next read of a stream gave. */
export type StreamRead
	= | {kind: 'event'; event: EngineEvent}
		| {kind: 'silent'}
		| {kind: 'aborted'}
		| {kind: 'lost'; message: string};

/** Options of {@linkcode openEngineStream}. */
export type OpenEngineStreamOptions = {
	/** `address:port` of the engine. */
	address: string;
	/** Time until the engine's answer headers, in milliseconds. */
	openMilliseconds: number;
	/** Headers of the trace. Default none. */
	traceHeaders?: Record<string, string>;
	/** Closes the connection. */
	signal: AbortSignal;
};

/** What to ask of the engine: a new stream, or its own stream after an index. */
export type StreamRequest
	= | {kind: 'start'; request: EngineRequest}
		| {kind: 'resume'; generation: string; attempt: number; afterIndex: number};

/**
 * Opens a stream on a new connection.
 *
 * @param request A new stream, or one to resume.
 * @param options Address and deadline.
 * @returns The open stream, or why there is none.
 * @example
 * ```ts
 * const stream = await openEngineStream({kind: 'start', request}, {address, openMilliseconds: 1000, signal});
 * ```
 */
export async function openEngineStream(request: StreamRequest, options: OpenEngineStreamOptions): Promise<Result<EngineStream, OpenFailure>> {
	const client = new Client(`http://${options.address}`, {
		connectTimeout: 0, headersTimeout: 0, bodyTimeout: 0, pipelining: 1,
	});
	const opening = new AbortController();
	const giveUp = () => {
		opening.abort(new Error('no answer in time'));
	};

	const timer = setTimeout(giveUp, options.openMilliseconds);
	options.signal.addEventListener('abort', giveUp, {once: true});
	try {
		const response = await client.request({...requestLine(request), headers: {'content-type': 'application/json', ...options.traceHeaders}, signal: opening.signal});
		if (response.statusCode !== 200) {
			const text = await response.body.text();
			void client.destroy();
			return err(refusalOf(response.statusCode, text));
		}

		return ok(new EngineStream(client, response.body));
	} catch (error) {
		void client.destroy();
		return err({
			kind: 'unreachable', message: String(error), crashed: isReset(error), connectionRefused: isConnectionRefused(error),
		});
	} finally {
		clearTimeout(timer);
		options.signal.removeEventListener('abort', giveUp);
	}
}

/** An open stream of one engine; read it until its end, then close it. */
export class EngineStream {
	readonly #client: Client;
	readonly #chunks: AsyncIterator<Uint8Array>;
	readonly #decoder = new TextDecoder();
	readonly #events: EngineEvent[] = [];
	readonly #parser = createParser({
		onEvent: message => {
			const checked = engineEventSchema.safeParse(parseJson(message.data));
			if (checked.success) {
				this.#events.push(checked.data);
			} else if (message.data !== '[DONE]') {
				this.#broken = `unexpected event: ${checked.error.message}`;
			}
		},
	});

	#broken: string | undefined;
	#pending: Promise<Settled<IteratorResult<Uint8Array>>> | undefined;

	constructor(client: Client, body: Dispatcher.ResponseData['body']) {
		this.#client = client;
		this.#chunks = body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
	}

	/**
	 * Waits for the next event.
	 *
	 * @param silenceMilliseconds Time without any byte after which the stream counts as silent; reading may go on.
	 * @param signal Ends the wait.
	 */
	async read(silenceMilliseconds: number, signal: AbortSignal): Promise<StreamRead> {
		while (this.#events.length === 0) {
			if (this.#broken !== undefined) {
				return {kind: 'lost', message: this.#broken};
			}

			const outcome = await this.#readChunk(silenceMilliseconds, signal);
			if (outcome) {
				return outcome;
			}
		}

		return {kind: 'event', event: this.#events.shift()!};
	}

	/** Closes the connection; the engine keeps the generation for a while so that it can be resumed. */
	close(): void {
		void this.#client.destroy();
	}

	async #readChunk(silenceMilliseconds: number, signal: AbortSignal): Promise<StreamRead | undefined> {
		this.#pending ??= settled(this.#chunks.next());
		const waited = await firstOf(this.#pending, silenceMilliseconds, signal);
		if (waited.kind !== 'settled') {
			return waited;
		}

		this.#pending = undefined;
		if (waited.result.isErr()) {
			return {kind: 'lost', message: waited.result.error};
		}

		if (waited.result.value.done) {
			return {kind: 'lost', message: 'the engine closed the stream before its end'};
		}

		this.#parser.feed(this.#decoder.decode(waited.result.value.value, {stream: true}));
		return undefined;
	}
}

type Settled<Value> = {kind: 'settled'; result: Result<Value, string>} | {kind: 'silent'} | {kind: 'aborted'};

/** Waits for a promise, a time or a signal, whichever comes first. */
async function firstOf<Value>(promise: Promise<Settled<Value>>, milliseconds: number, signal: AbortSignal): Promise<Settled<Value>> {
	if (signal.aborted) {
		return {kind: 'aborted'};
	}

	let timer: NodeJS.Timeout | undefined;
	let onAbort: (() => void) | undefined;
	const interrupted = new Promise<Settled<Value>>(resolve => {
		timer = setTimeout(() => {
			resolve({kind: 'silent'});
		}, milliseconds);
		onAbort = () => {
			resolve({kind: 'aborted'});
		};

		signal.addEventListener('abort', onAbort, {once: true});
	});
	try {
		return await Promise.race([promise, interrupted]);
	} finally {
		clearTimeout(timer);
		signal.removeEventListener('abort', onAbort!);
	}
}

async function settled<Value>(promise: Promise<Value>): Promise<Settled<Value>> {
	try {
		return {kind: 'settled', result: ok(await promise)};
	} catch (error) {
		return {kind: 'settled', result: err(String(error))};
	}
}

function requestLine(request: StreamRequest): {method: 'GET' | 'POST'; path: string; body?: string} {
	if (request.kind === 'start') {
		return {method: 'POST', path: '/v1/completions', body: JSON.stringify(request.request)};
	}

	const query = new URLSearchParams({after: String(request.afterIndex), attempt: String(request.attempt)});
	return {method: 'GET', path: `/v1/generations/${request.generation}/stream?${query.toString()}`};
}

function refusalOf(status: number, text: string): OpenFailure {
	const checked = engineErrorSchema.safeParse(parseJson(text));
	if (checked.success) {
		return {kind: 'refused', ...checked.data.error};
	}

	return {
		kind: 'unreachable', message: `the engine answered ${status}`, crashed: false, connectionRefused: false,
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function isReset(error: unknown): boolean {
	return error instanceof Error && 'code' in error && (error.code === 'ECONNRESET' || error.code === 'UND_ERR_SOCKET');
}
