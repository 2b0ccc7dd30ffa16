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

		return ok(new EngineStream(client, response.body, options.signal));
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

/** Events held before the engine is asked to wait. */
const mostPendingEvents = 256;

/** An open stream of one engine; read it until its end, then close it. */
export class EngineStream {
	readonly #client: Client;
	readonly #body: Dispatcher.ResponseData['body'];
	readonly #signal: AbortSignal;
	readonly #decoder = new TextDecoder();
	readonly #events: EngineEvent[] = [];
	readonly #parser = createParser({
		onEvent: message => {
			this.#take(message.data);
		},
	});

	readonly #onAbort: () => void;
	#lost: string | undefined;
	#silent = false;
	#timer: NodeJS.Timeout | undefined;
	#waiter: (() => void) | undefined;

	constructor(client: Client, body: Dispatcher.ResponseData['body'], signal: AbortSignal) {
		this.#client = client;
		this.#body = body;
		this.#signal = signal;
		this.#onAbort = () => {
			this.#wake();
		};

		signal.addEventListener('abort', this.#onAbort);
		body.on('data', (chunk: Uint8Array) => {
			this.#parser.feed(this.#decoder.decode(chunk, {stream: true}));
			if (this.#events.length > mostPendingEvents) {
				body.pause();
			}

			this.#wake();
		});
		body.on('end', () => {
			this.#end('the engine closed the stream before its end');
		});
		body.on('error', error => {
			this.#end(String(error));
		});
	}

	/**
	 * Waits for the next event.
	 *
	 * @param silenceMilliseconds Time without an event after which the stream counts as silent, whatever else it brings; reading may go on.
	 */
	async read(silenceMilliseconds: number): Promise<StreamRead> {
		this.#silent = false;
		if (this.#events.length === 0) {
			this.#startTimer(silenceMilliseconds);
		}

		while (this.#events.length === 0) {
			if (this.#signal.aborted) {
				return {kind: 'aborted'};
			}

			if (this.#lost !== undefined) {
				return {kind: 'lost', message: this.#lost};
			}

			if (this.#silent) {
				return {kind: 'silent'};
			}

			this.#body.resume();
			await new Promise<void>(resolve => {
				this.#waiter = resolve;
			});
		}

		return {kind: 'event', event: this.#events.shift()!};
	}

	/** Closes the connection; the engine keeps the generation for a while so that it can be resumed. */
	close(): void {
		clearTimeout(this.#timer);
		this.#signal.removeEventListener('abort', this.#onAbort);
		void this.#client.destroy();
	}

	/** Starts the silence limit anew; one timer serves the whole stream. */
	#startTimer(milliseconds: number): void {
		if (this.#timer) {
			this.#timer.refresh();
			return;
		}

		this.#timer = setTimeout(() => {
			this.#silent = true;
			this.#wake();
		}, milliseconds);
	}

	#take(data: string): void {
		const checked = engineEventSchema.safeParse(parseJson(data));
		if (checked.success) {
			this.#events.push(checked.data);
		} else if (data !== '[DONE]') {
			this.#lost = `unexpected event: ${checked.error.message}`;
		}
	}

	#end(message: string): void {
		this.#lost ??= message;
		this.#wake();
	}

	#wake(): void {
		const waiter = this.#waiter;
		this.#waiter = undefined;
		waiter?.();
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
