/**
 * Event stream from an engine, on a dedicated connection.
 *
 * @module
 */
import {createParser} from 'eventsource-parser';
import {
	err, ok, type Result,
} from 'neverthrow';
import {Client, type Dispatcher} from 'undici';
import {type NamedLimit} from '../limits/endpoint-limit.ts';
import {isConnectionRefused} from './connection-refused.ts';
import {
	engineErrorSchema, engineEventSchema, type EngineErrorCode, type EngineEvent, type EngineRequest,
} from './engine-protocol.ts';
import {decodeNamedLimit} from './named-limit.ts';

/** Reason why a stream could not be opened. */
export type OpenFailure
	= | {kind: 'unreachable'; message: string; crashed: boolean; connectionRefused: boolean}
		| {kind: 'refused'; code: EngineErrorCode; message: string; limit: NamedLimit};

/** Result of a read of a stream. */
export type StreamRead
	= | {kind: 'event'; event: EngineEvent}
		| {kind: 'silent'}
		| {kind: 'aborted'}
		| {kind: 'lost'; message: string};

/** Options of {@linkcode openEngineStream}. */
export type OpenEngineStreamOptions = {
	/** `address:port` of the engine. */
	address: string;
	/** Time within which the engine must send its response headers, in milliseconds. */
	openTimeoutMilliseconds: number;
	/** Trace context headers. Default none. */
	traceHeaders?: Record<string, string>;
	/** Closes the connection. */
	signal: AbortSignal;
};

/** Stream to request from the engine: a new one, or the rest of an earlier one after an index. */
export type StreamRequest
	= | {kind: 'start'; request: EngineRequest}
		| {kind: 'resume'; generation: string; attempt: number; afterIndex: number};

/**
 * Opens a stream on a new connection.
 *
 * @param request A new stream, or one to resume.
 * @param options Address, timeout and abort signal.
 * @returns The open stream, or the reason for the failure.
 * @example
 * ```ts
 * const stream = await openEngineStream({kind: 'start', request}, {address, openTimeoutMilliseconds: 1000, signal});
 * ```
 */
export async function openEngineStream(request: StreamRequest, options: OpenEngineStreamOptions): Promise<Result<EngineStream, OpenFailure>> {
	const client = new Client(`http://${options.address}`, {
		connectTimeout: 0, headersTimeout: 0, bodyTimeout: 0, pipelining: 1,
	});
	const openController = new AbortController();
	const abortOpening = () => {
		openController.abort(new Error('no response in time'));
	};

	const timer = setTimeout(abortOpening, options.openTimeoutMilliseconds);
	options.signal.addEventListener('abort', abortOpening, {once: true});
	try {
		const response = await client.request({...requestParameters(request), headers: {'content-type': 'application/json', ...options.traceHeaders}, signal: openController.signal});
		if (response.statusCode !== 200) {
			const text = await response.body.text();
			void client.destroy();
			return err(toOpenFailure(response.statusCode, text, decodeNamedLimit(response.headers)));
		}

		return ok(new EngineStream(client, response, options.signal));
	} catch (error) {
		void client.destroy();
		return err({
			kind: 'unreachable', message: String(error), crashed: isConnectionReset(error), connectionRefused: isConnectionRefused(error),
		});
	} finally {
		clearTimeout(timer);
		options.signal.removeEventListener('abort', abortOpening);
	}
}

/** Buffered events above which reading from the connection pauses. */
const maximumPendingEvents = 256;

/** An open stream from an engine; the user reads it to its end and then closes it. */
export class EngineStream {
	/** Limit that the engine names. */
	readonly limit: NamedLimit;
	readonly #client: Client;
	readonly #body: Dispatcher.ResponseData['body'];
	readonly #signal: AbortSignal;
	readonly #decoder = new TextDecoder();
	readonly #events: EngineEvent[] = [];
	readonly #parser = createParser({
		onEvent: message => {
			this.#addEvent(message.data);
		},
	});

	readonly #onAbort: () => void;
	#failure: string | undefined;
	#timedOut = false;
	#stallTimer: NodeJS.Timeout | undefined;
	#resolveWait: (() => void) | undefined;

	constructor(client: Client, {body, headers}: Pick<Dispatcher.ResponseData, 'body' | 'headers'>, signal: AbortSignal) {
		this.#client = client;
		this.limit = decodeNamedLimit(headers);
		this.#body = body;
		this.#signal = signal;
		this.#onAbort = () => {
			this.#wakeReader();
		};

		signal.addEventListener('abort', this.#onAbort);
		body.on('data', (chunk: Uint8Array) => {
			this.#parser.feed(this.#decoder.decode(chunk, {stream: true}));
			if (this.#events.length > maximumPendingEvents) {
				body.pause();
			}

			this.#wakeReader();
		});
		body.on('end', () => {
			this.#endStream('the engine closed the stream before its end');
		});
		body.on('error', error => {
			this.#endStream(String(error));
		});
	}

	/**
	 * Waits for the next event.
	 *
	 * @param stallTimeoutMilliseconds Time without an event after which the stream counts as silent, even if other bytes arrive; it can be read again afterwards.
	 */
	async read(stallTimeoutMilliseconds: number): Promise<StreamRead> {
		this.#timedOut = false;
		if (this.#events.length === 0) {
			this.#startStallTimer(stallTimeoutMilliseconds);
		}

		while (this.#events.length === 0) {
			if (this.#signal.aborted) {
				return {kind: 'aborted'};
			}

			if (this.#failure !== undefined) {
				return {kind: 'lost', message: this.#failure};
			}

			if (this.#timedOut) {
				return {kind: 'silent'};
			}

			this.#body.resume();
			await new Promise<void>(resolve => {
				this.#resolveWait = resolve;
			});
		}

		return {kind: 'event', event: this.#events.shift()!};
	}

	/** Closes the connection; the engine keeps the generation for a while so that it can be resumed. */
	close(): void {
		clearTimeout(this.#stallTimer);
		this.#signal.removeEventListener('abort', this.#onAbort);
		void this.#client.destroy();
	}

	/** Starts or restarts the stall timer; one timer is used for the whole stream. */
	#startStallTimer(milliseconds: number): void {
		if (this.#stallTimer) {
			this.#stallTimer.refresh();
			return;
		}

		this.#stallTimer = setTimeout(() => {
			this.#timedOut = true;
			this.#wakeReader();
		}, milliseconds);
	}

	#addEvent(data: string): void {
		const parsed = engineEventSchema.safeParse(parseJson(data));
		if (parsed.success) {
			this.#events.push(parsed.data);
		} else if (data !== '[DONE]') {
			this.#failure = `unexpected event: ${parsed.error.message}`;
		}
	}

	#endStream(message: string): void {
		this.#failure ??= message;
		this.#wakeReader();
	}

	#wakeReader(): void {
		const waiter = this.#resolveWait;
		this.#resolveWait = undefined;
		waiter?.();
	}
}

function requestParameters(request: StreamRequest): {method: 'GET' | 'POST'; path: string; body?: string} {
	if (request.kind === 'start') {
		return {method: 'POST', path: '/v1/completions', body: JSON.stringify(request.request)};
	}

	const query = new URLSearchParams({after: String(request.afterIndex), attempt: String(request.attempt)});
	return {method: 'GET', path: `/v1/generations/${request.generation}/stream?${query.toString()}`};
}

function toOpenFailure(status: number, text: string, limit: NamedLimit): OpenFailure {
	const parsed = engineErrorSchema.safeParse(parseJson(text));
	if (parsed.success) {
		return {kind: 'refused', ...parsed.data.error, limit};
	}

	return {
		kind: 'unreachable', message: `the engine responded with status ${status}`, crashed: false, connectionRefused: false,
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function isConnectionReset(error: unknown): boolean {
	return error instanceof Error && 'code' in error && (error.code === 'ECONNRESET' || error.code === 'UND_ERR_SOCKET');
}
