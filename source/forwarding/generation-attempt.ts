/**
 * One attempt of a generation: sends it to an engine and forwards its events.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type EndpointEntry} from '../registry/mod.ts';
import {encodeRequestHeaders} from '../platform/mod.ts';
import {startResponse, sendCompleteResponse, writeToCaller} from './caller-response.ts';
import {EngineMonitor, type AbandonReason} from './engine-monitor.ts';
import {eventsInOrder} from './event-order.ts';
import {EventSplitter, type StreamEvent} from './event-splitter.ts';
import {type Exchange} from './exchange.ts';
import {recordPause, type GenerationProgress} from './generation-progress.ts';
import {type ResponseBuffer, type ResponseBuffers} from './response-buffers.ts';
import {sendRequest, IncompleteResponseError, type EndpointResponse} from './send-request.ts';
import {type EngineCondition, type EngineQuery} from './silence-decision.ts';

/** Target of an attempt. */
export type AttemptTarget = {
	endpoint: EndpointEntry;
	/** Engine that receives a copy of the generation's KV cache. */
	copyHolder: EndpointEntry | undefined;
	/** Engine that holds a copy to resume from. */
	resumeFrom: EndpointEntry | undefined;
};

/** How an attempt ended. */
export type GenerationEnd
	/** The caller received the whole response, or the engine's client error unchanged. */
	= | {kind: 'finished'; status: number}
		| {kind: 'caller-disconnected'}
	/** The engine did not run the generation; `unreachable` if no connection could be established. */
		| {kind: 'not-run'; status: number; unreachable: boolean; retryAfterMilliseconds: number | undefined; message: string}
	/** The engine responded with a server error instead of events, or with any other status but 200 to a stream that had begun. */
		| {kind: 'failed'; status: number; rawHeaders: readonly string[]; body: Uint8Array}
	/** The engine was abandoned, or its response broke off. */
		| ({kind: 'lost'} & AbandonReason);

/** Options of {@linkcode runGenerationAttempt}. */
export type GenerationAttemptOptions = {
	exchange: Exchange;
	target: AttemptTarget;
	progress: GenerationProgress;
	/**
	 * Target time to the first event, in milliseconds. It grows with each engine that was left before its first event: each further one reads
	 * the prompt from its start, and may need as long as the one before would have.
	 */
	targetMilliseconds: number;
	agent: Parameters<typeof sendRequest>[0]['agent'];
	/** Limits how much of the responses is buffered. */
	responseBuffers: ResponseBuffers;
	/** Monotonic time until which the generation stays while the engine works through the requests before it, in milliseconds. */
	queueWatchedUntil: number;
	/** Called with the number of events that the caller has received of all attempts, when it grows. */
	onEvents: (events: number) => void;
	/** Called with the engine's response once its head has arrived. */
	onResponse: (endpointResponse: EndpointResponse) => void;
	/** Queries the engine for its load over a new connection. */
	queryLoad: () => Promise<EngineQuery>;
	/** Acquires another engine for the generation; returns false if it must stay, as there is none or it may not be sent again. */
	acquireAlternative: (condition: EngineCondition) => Promise<boolean>;
	clock: () => number;
};

/** Timeout for connecting to an engine, in milliseconds. */
const connectTimeoutMilliseconds = 150;

/**
 * Runs one attempt.
 *
 * @param options Request, target engine and progress of the generation.
 * @returns How the attempt ended; `progress` is updated with the events sent to the caller.
 */
export async function runGenerationAttempt(options: GenerationAttemptOptions): Promise<GenerationEnd> {
	return new GenerationAttempt(options).run();
}

class GenerationAttempt {
	readonly #options: GenerationAttemptOptions;
	readonly #controller = new AbortController();
	readonly #monitor: EngineMonitor;
	readonly #buffer: ResponseBuffer;
	#abandonReason: AbandonReason | undefined;
	/** Ends a write that the caller does not read. */
	readonly #writing: AbortSignal;

	constructor(options: GenerationAttemptOptions) {
		this.#options = options;
		this.#buffer = options.responseBuffers.allocate();
		this.#writing = AbortSignal.any([options.exchange.callerDisconnected, this.#controller.signal]);
		const {exchange: {route, terms, deadline}, target: {endpoint, copyHolder}, targetMilliseconds, queryLoad, acquireAlternative, clock} = options;
		this.#monitor = new EngineMonitor({
			startedAt: endpoint.startedAt,
			attemptId: terms.attempt ?? '',
			deadline,
			eventPauseMilliseconds: route.eventPauseMilliseconds,
			targetMilliseconds,
			hasCopy: copyHolder !== undefined,
			isResumed: options.progress.lastEventId !== undefined,
			queueWatchedUntil: options.queueWatchedUntil,
			queryLoad,
			acquireAlternative,
			onAbandon: reason => {
				this.#abandonReason ??= reason;
				this.#controller.abort();
			},
			clock,
		});
	}

	async run(): Promise<GenerationEnd> {
		const {callerDisconnected} = this.#options.exchange;
		const abort = () => {
			this.#controller.abort();
		};

		callerDisconnected.addEventListener('abort', abort);
		if (callerDisconnected.aborted) {
			abort();
		}

		this.#monitor.start();
		try {
			return await this.#run();
		} finally {
			this.#monitor.stop();
			this.#buffer.release();
			callerDisconnected.removeEventListener('abort', abort);
			abort();
		}
	}

	async #run(): Promise<GenerationEnd> {
		const {exchange, target, agent, clock, progress} = this.#options;
		const sent = await sendRequest({
			agent,
			address: target.endpoint.address,
			method: exchange.request.method!,
			target: exchange.request.url!,
			rawHeaders: encodeRequestHeaders(exchange.request.rawHeaders, {
				endpointId: target.endpoint.id,
				workspace: exchange.workspace?.name,
				deadlineMilliseconds: exchange.deadline - clock(),
				priority: exchange.enginePriority,
				lastEvent: progress.lastEventId,
				copyTo: target.copyHolder?.address,
				resumeFrom: target.resumeFrom && {address: target.resumeFrom.address, attempt: exchange.terms.attempt ?? ''},
			}),
			body: exchange.body,
			attemptId: exchange.terms.attempt,
			connectTimeoutMilliseconds,
			signal: this.#controller.signal,
		});
		if (exchange.callerDisconnected.aborted) {
			return {kind: 'caller-disconnected'};
		}

		if (sent.kind === 'response') {
			this.#monitor.recordProgress(0);
			this.#options.onResponse(sent.response);
			return this.#handleResponse(sent.response);
		}

		return sent.kind === 'not-sent' && !this.#abandonReason
			? {
				kind: 'not-run', status: 0, unreachable: true, retryAfterMilliseconds: undefined, message: sent.message,
			}
			: {kind: 'lost', ...this.#abandonReason ?? brokenOff(sent.message)};
	}

	async #handleResponse(endpointResponse: EndpointResponse): Promise<GenerationEnd> {
		if (endpointResponse.terms.notExecuted) {
			endpointResponse.cancel();
			return {
				kind: 'not-run',
				status: endpointResponse.status,
				unreachable: false,
				retryAfterMilliseconds: endpointResponse.terms.retryAfterMilliseconds,
				message: `the engine refused with ${endpointResponse.status}`,
			};
		}

		try {
			return endpointResponse.status === 200 ? await this.#forward(endpointResponse) : await this.#handleFailure(endpointResponse);
		} catch (error) {
			if (!(error instanceof IncompleteResponseError)) {
				throw error;
			}

			return this.#options.exchange.callerDisconnected.aborted
				? {kind: 'caller-disconnected'}
				: {kind: 'lost', ...this.#abandonReason ?? brokenOff(error.message)};
		}
	}

	/** Passes a client error on if the caller has received nothing yet; in a stream that has begun, it is a failure like any other. */
	async #handleFailure(endpointResponse: EndpointResponse): Promise<GenerationEnd> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		for await (const chunk of endpointResponse.body()) {
			chunks.push(chunk);
			bytes += chunk.length;
			this.#resizeBuffer(bytes);
		}

		const body = Buffer.concat(chunks);
		const {status, rawHeaders} = endpointResponse;
		const {response} = this.#options.exchange;
		if (status < 500 && !response.headersSent) {
			sendCompleteResponse(response, status, rawHeaders, body);
			return {kind: 'finished', status};
		}

		return {
			kind: 'failed', status, rawHeaders, body,
		};
	}

	/** Forwards complete events as they arrive; an incomplete event is held back, so that another engine can send it whole. */
	async #forward(endpointResponse: EndpointResponse): Promise<GenerationEnd> {
		const {response} = this.#options.exchange;
		const splitter = new EventSplitter();
		let messagesReceived = 0;
		for await (const chunk of endpointResponse.body()) {
			const events = splitter.push(chunk);
			this.#resizeBuffer(splitter.incompleteBytes.length);
			const messages = events.filter(({isMessage}) => isMessage).length;
			messagesReceived += messages;
			if (messages > 0) {
				this.#monitor.recordProgress(messages);
			}

			if (!response.headersSent) {
				startResponse(response, endpointResponse.status, endpointResponse.rawHeaders);
			}

			const inOrder = eventsInOrder(this.#options.progress.lastEventId, events);
			await this.#deliver(inOrder);
			if (inOrder.length < events.length) {
				throw new IncompleteResponseError(describeDisorder(events[inOrder.length]!, this.#options.progress.lastEventId));
			}
		}

		if (messagesReceived === 0 && !endpointResponse.isFramed) {
			throw new IncompleteResponseError('the connection ended before the first event');
		}

		if (splitter.incompleteBytes.length > 0) {
			throw new IncompleteResponseError('the response ended within an event');
		}

		if (!response.headersSent) {
			startResponse(response, endpointResponse.status, endpointResponse.rawHeaders);
		}

		response.end();
		return {kind: 'finished', status: endpointResponse.status};
	}

	/** Sets the number of buffered bytes; throws if they exceed the limit. */
	#resizeBuffer(bytes: number): void {
		if (!this.#buffer.resize(bytes)) {
			throw new IncompleteResponseError(`${bytes} bytes of an error body or an incomplete event exceed the buffer limit`);
		}
	}

	async #deliver(events: readonly StreamEvent[]): Promise<void> {
		const {exchange: {response}, progress, clock} = this.#options;
		if (events.length === 0) {
			return;
		}

		const messages = events.filter(({isMessage}) => isMessage);
		if (messages.length > 0) {
			progress.lastEventId = messages.findLast(({id}) => id !== undefined)?.id ?? progress.lastEventId;
			progress.events += messages.length;
			recordPause(progress, clock());
			this.#options.onEvents(progress.events);
		}

		const bytes = events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(event => event.bytes));
		await writeToCaller(response, bytes, this.#writing, isWaiting => {
			this.#monitor.setCallerWaits(isWaiting);
		});
	}
}

function describeDisorder({id, hasForeignLine}: StreamEvent, lastEventId: string | undefined): string {
	return hasForeignLine ? `text that belongs to no event came after event ${lastEventId}` : `event ${id} came after event ${lastEventId}`;
}

/** Returns why an attempt is lost whose connection ended, or whose response can't be used. */
function brokenOff(message: string): AbandonReason {
	return {unreachable: false, isSilent: false, message};
}
