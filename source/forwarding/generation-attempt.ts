/**
 * One attempt of a generation: sends it to an engine and forwards its events.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type EngineReport} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {encodeSendHeaders} from '../platform/mod.ts';
import {beginAnswer, sendWholeAnswer, writeToCaller} from './answer-caller.ts';
import {EngineWatch, type Departure} from './engine-watch.ts';
import {eventsInOrder} from './event-order.ts';
import {EventSplitter, type StreamEvent} from './event-splitter.ts';
import {type Exchange} from './exchange.ts';
import {type HeldAnswer, type HeldAnswers} from './held-answers.ts';
import {sendRequest, BrokenAnswerError, type EndpointAnswer} from './send-request.ts';

/** Where an attempt goes. */
export type AttemptTarget = {
	endpoint: EndpointEntry;
	/** Engine that receives copies of the generation's memory. */
	copyHolder: EndpointEntry | undefined;
	/** Engine that holds a copy to go on from. */
	goOnFrom: EndpointEntry | undefined;
};

/** How an attempt ended. */
export type GenerationEnd
	/** The caller has the whole answer, or the engine's own failure as it is. */
	= | {kind: 'finished'; status: number}
		| {kind: 'caller-left'}
	/** The engine did not run it; `unreachable` where it could not be connected to. */
		| {kind: 'not-run'; status: number; unreachable: boolean; retryAfterMilliseconds: number | undefined; message: string}
	/** The engine answered with a failure of its own before any event. */
		| {kind: 'failed'; status: number; rawHeaders: readonly string[]; body: Uint8Array}
	/** The engine is gone, or its answer broke off. */
		| {kind: 'lost'; unreachable: boolean; message: string};

/** State of a generation over its attempts. */
export type GenerationProgress = {
	/** Newest event that the caller has. */
	lastEvent: string | undefined;
	/** Events forwarded. */
	events: number;
	/** Steady time of the newest event, or of the request's arrival, in milliseconds. */
	eventAt: number;
	/** Time from the request to its first event, in milliseconds. */
	firstEventMilliseconds: number | undefined;
	/** Longest pause between two events, in milliseconds. */
	longestPauseMilliseconds: number;
};

/** Options of {@linkcode runGenerationAttempt}. */
export type GenerationAttemptOptions = {
	exchange: Exchange;
	target: AttemptTarget;
	progress: GenerationProgress;
	agent: Parameters<typeof sendRequest>[0]['agent'];
	/** Bounds what is held of answers. */
	heldAnswers: HeldAnswers;
	/** Receives each answer of the engine, once its head is there. */
	onAnswer: (answer: EndpointAnswer) => void;
	/** Asks the engine for its load over a new connection; `undefined` where it does not answer. */
	ask: (address: string) => Promise<EngineReport | undefined>;
	clock: () => number;
};

/** Time for a connection to an engine, in milliseconds. */
const connectMilliseconds = 150;

/**
 * Runs one attempt.
 *
 * @param options Request, engine and what the caller has.
 * @returns How it ended; whatever the caller had received by then is in `progress`.
 */
export async function runGenerationAttempt(options: GenerationAttemptOptions): Promise<GenerationEnd> {
	return new GenerationAttempt(options).run();
}

class GenerationAttempt {
	readonly #options: GenerationAttemptOptions;
	readonly #ending = new AbortController();
	readonly #watch: EngineWatch;
	readonly #held: HeldAnswer;
	#leftBecause: Departure | undefined;

	constructor(options: GenerationAttemptOptions) {
		this.#options = options;
		this.#held = options.heldAnswers.begin();
		const {exchange: {route, terms, answerBy}, target: {endpoint, copyHolder}, ask, clock} = options;
		this.#watch = new EngineWatch({
			startedAt: endpoint.startedAt,
			attempt: terms.attempt ?? '',
			answerBy,
			eventPauseMilliseconds: route.eventPauseMilliseconds,
			targetMilliseconds: route.targetMilliseconds,
			hasCopy: copyHolder !== undefined,
			ask: async () => ask(endpoint.address),
			onLeave: departure => {
				this.#leftBecause ??= departure;
				this.#ending.abort();
			},
			clock,
		});
	}

	async run(): Promise<GenerationEnd> {
		const {callerGone} = this.#options.exchange;
		const end = () => {
			this.#ending.abort();
		};

		callerGone.addEventListener('abort', end);
		this.#watch.start();
		try {
			return await this.#run();
		} finally {
			this.#watch.stop();
			this.#held.release();
			callerGone.removeEventListener('abort', end);
			end();
		}
	}

	async #run(): Promise<GenerationEnd> {
		const {exchange, target, agent, clock, progress} = this.#options;
		const sent = await sendRequest({
			agent,
			address: target.endpoint.address,
			method: exchange.request.method!,
			target: exchange.request.url!,
			rawHeaders: encodeSendHeaders(exchange.request.rawHeaders, {
				endpointId: target.endpoint.id,
				workspace: exchange.workspace?.name,
				deadlineMilliseconds: exchange.answerBy - clock(),
				priority: undefined,
				lastEvent: progress.lastEvent,
				copyTo: target.copyHolder?.address,
				goOnFrom: target.goOnFrom && {address: target.goOnFrom.address, attempt: exchange.terms.attempt ?? ''},
			}),
			body: exchange.body,
			attempt: exchange.terms.attempt,
			connectMilliseconds,
			signal: this.#ending.signal,
		});
		if (exchange.callerGone.aborted) {
			return {kind: 'caller-left'};
		}

		if (sent.kind === 'answer') {
			this.#watch.gotOn(0);
			this.#options.onAnswer(sent.answer);
			return this.#takeAnswer(sent.answer);
		}

		return sent.kind === 'not-sent' && !this.#leftBecause
			? {
				kind: 'not-run', status: 0, unreachable: true, retryAfterMilliseconds: undefined, message: sent.message,
			}
			: {kind: 'lost', ...this.#leftBecause ?? {unreachable: false, message: sent.message}};
	}

	async #takeAnswer(answer: EndpointAnswer): Promise<GenerationEnd> {
		if (answer.terms.notExecuted) {
			answer.abandon();
			return {
				kind: 'not-run', status: answer.status, unreachable: false, retryAfterMilliseconds: answer.terms.retryAfterMilliseconds, message: `the engine refused with ${answer.status}`,
			};
		}

		try {
			return answer.status === 200 ? await this.#forward(answer) : await this.#takeFailure(answer);
		} catch (error) {
			if (!(error instanceof BrokenAnswerError)) {
				throw error;
			}

			return this.#options.exchange.callerGone.aborted
				? {kind: 'caller-left'}
				: {kind: 'lost', ...this.#leftBecause ?? {unreachable: false, message: error.message}};
		}
	}

	async #takeFailure(answer: EndpointAnswer): Promise<GenerationEnd> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		for await (const chunk of answer.body()) {
			chunks.push(chunk);
			bytes += chunk.length;
			this.#mustHold(bytes);
		}

		const body = Buffer.concat(chunks);
		if (answer.status < 500) {
			if (!this.#options.exchange.response.headersSent) {
				sendWholeAnswer(this.#options.exchange.response, answer.status, answer.rawHeaders, body);
			}

			return {kind: 'finished', status: answer.status};
		}

		return {
			kind: 'failed', status: answer.status, rawHeaders: answer.rawHeaders, body,
		};
	}

	/** Forwards events as they come; an event that is not whole is kept back, so that it can come from another engine. */
	async #forward(answer: EndpointAnswer): Promise<GenerationEnd> {
		const {response} = this.#options.exchange;
		const splitter = new EventSplitter();
		for await (const chunk of answer.body()) {
			const events = splitter.push(chunk);
			this.#mustHold(splitter.rest.length);
			const messages = events.filter(({isMessage}) => isMessage).length;
			if (messages > 0) {
				this.#watch.gotOn(messages);
			}

			if (!response.headersSent) {
				beginAnswer(response, answer.status, answer.rawHeaders);
			}

			const inOrder = eventsInOrder(this.#options.progress.lastEvent, events);
			await this.#deliver(inOrder);
			if (inOrder.length < events.length) {
				throw new BrokenAnswerError(`event ${events[inOrder.length]!.id} came after event ${this.#options.progress.lastEvent}`);
			}
		}

		if (splitter.rest.length > 0) {
			throw new BrokenAnswerError('the answer ends within an event');
		}

		if (!response.headersSent) {
			beginAnswer(response, answer.status, answer.rawHeaders);
		}

		response.end();
		return {kind: 'finished', status: answer.status};
	}

	/** Counts the bytes that are held back of the answer, and leaves one that holds back too many. */
	#mustHold(bytes: number): void {
		if (!this.#held.hold(bytes)) {
			throw new BrokenAnswerError(`${bytes} bytes of a failure or an event that does not end are too many to be held`);
		}
	}

	async #deliver(events: readonly StreamEvent[]): Promise<void> {
		const {exchange: {response, callerGone}, progress, clock} = this.#options;
		if (events.length === 0) {
			return;
		}

		const messages = events.filter(({isMessage}) => isMessage);
		if (messages.length > 0) {
			progress.lastEvent = messages.findLast(({id}) => id !== undefined)?.id ?? progress.lastEvent;
			progress.events += messages.length;
			notePause(progress, clock());
		}

		const bytes = events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(event => event.bytes));
		await writeToCaller(response, bytes, callerGone);
	}
}

function notePause(progress: GenerationProgress, now: number): void {
	const pauseMilliseconds = now - progress.eventAt;
	progress.eventAt = now;
	if (progress.firstEventMilliseconds === undefined) {
		progress.firstEventMilliseconds = pauseMilliseconds;
	} else {
		progress.longestPauseMilliseconds = Math.max(progress.longestPauseMilliseconds, pauseMilliseconds);
	}
}
