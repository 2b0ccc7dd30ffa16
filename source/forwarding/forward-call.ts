/**
 * Forwards a call to a plain service.
 *
 * @module
 */
import {chooseEndpoint} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {encodeSendHeaders} from '../platform/mod.ts';
import {
	passAnswerOn, sendRefusal, sendWholeAnswer, type Refusal,
} from './answer-caller.ts';
import {obeyWishes, usableEndpoints} from './answer-wishes.ts';
import {askRetryBudget} from './ask-retry-budget.ts';
import {readAnswer, type CallAttempt} from './call-attempt.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type HeldAnswer} from './held-answers.ts';
import {type ForwardingParts} from './forwarding-parts.ts';
import {type LostAttempt} from './lost-attempts.ts';
import {mayRunAgain} from './retry-decision.ts';
import {sendRequest} from './send-request.ts';

/** Time for a connection to an endpoint, in milliseconds. */
const connectMilliseconds = 150;

/** Share of the target after which an idempotent call is sent to a second endpoint as well. */
const hedgeShare = 0.5;

/** Shortest time after which a call is hedged, in milliseconds. */
const shortestHedgeMilliseconds = 40;

/** When a caller may come back that found no endpoint, in milliseconds. */
const comeBackMilliseconds = 250;

/**
 * Forwards a call, to another endpoint too where that is allowed, and answers the caller.
 *
 * @param exchange The call.
 * @param parts The router's other parts.
 * @returns How it ended.
 */
export async function forwardCall(exchange: Exchange, parts: ForwardingParts): Promise<ExchangeOutcome> {
	return new CallForwarding(exchange, parts).run();
}

class CallForwarding {
	readonly #exchange: Exchange;
	readonly #parts: ForwardingParts;
	readonly #tried = new Set<string>();
	/** Ends attempts, by their endpoints. */
	readonly #endings = new Map<string, AbortController>();
	/** What is held of answers, by their endpoints. */
	readonly #heldOf = new Map<string, HeldAnswer>();
	#hasEnded = false;
	/** Attempts whose end has not been looked at yet, by endpoint. */
	readonly #pending = new Map<string, Promise<CallAttempt>>();
	/** What becomes of endpoints that lost an answer, by their names. */
	readonly #settling = new Map<string, Promise<void>>();
	/** When the first endpoint that wants to be left alone may be used, in steady milliseconds; absent where none wants to. */
	#firstQuietEnd: number | undefined;
	#runs = 0;
	#timedOut = false;

	constructor(exchange: Exchange, parts: ForwardingParts) {
		this.#exchange = exchange;
		this.#parts = parts;
	}

	async run(): Promise<ExchangeOutcome> {
		try {
			return await this.#serve();
		} finally {
			this.#endAll();
		}
	}

	async #serve(): Promise<ExchangeOutcome> {
		const {response, route} = this.#exchange;
		const hedgeAt = this.#exchange.arrivedAt + Math.max(shortestHedgeMilliseconds, route.targetMilliseconds * hedgeShare);
		let mayHedge = route.kind === 'idempotent' && route.maximumAttempts > 1 && this.#exchange.care === 'none';
		const first = this.#choose();
		if (!first) {
			return this.#refuse({
				status: 503, code: 'no_endpoint', message: 'No endpoint of the service can be used now.', retryAfterMilliseconds: this.#comeBackMilliseconds(),
			});
		}

		this.#start(first);
		for (;;) {
			const step = await this.#next(mayHedge ? Math.min(hedgeAt, this.#exchange.answerBy) : this.#exchange.answerBy);
			if (this.#exchange.callerGone.aborted) {
				return this.#outcome('caller_left', 0);
			}

			if (step === undefined && mayHedge && this.#parts.clock() < this.#exchange.answerBy) {
				mayHedge = false;
				if (this.#runs < route.maximumAttempts) {
					await this.#retry('hedge');
				}

				continue;
			}

			if (step === undefined) {
				this.#timedOut = true;
				return this.#refuse({status: 504, code: 'timeout', message: 'No endpoint answered in time.'});
			}

			if (step.kind === 'begun') {
				return this.#passOn(step);
			}

			if (step.kind === 'answered') {
				sendWholeAnswer(response, step.answer.status, step.answer.rawHeaders, step.answer.body);
				return this.#outcome('answered', step.answer.status);
			}

			const goesOn = await this.#goesOn(step);
			if (!goesOn && this.#pending.size === 0) {
				return this.#giveUp(step);
			}
		}
	}

	/** Passes on an answer that is too large to be held, as it comes; the other attempts end. */
	async #passOn({endpoint, answer}: CallAttempt & {kind: 'begun'}): Promise<ExchangeOutcome> {
		const {response, answerBy, callerGone, requestName} = this.#exchange;
		const {loads, health, logger, clock} = this.#parts;
		this.#endOthers(endpoint);
		this.#heldOf.get(endpoint.id)?.release();
		const ended = loads.started(endpoint.id, 0);
		const ending = this.#endingOf(endpoint);
		const timer = setTimeout(() => {
			ending.abort();
		}, Math.max(0, answerBy - clock()));
		const passed = await passAnswerOn(response, answer, {signal: ending.signal});
		clearTimeout(timer);
		ended();
		if (passed.isOk()) {
			health.succeeded(endpoint.id, clock());
			return this.#outcome('answered', answer.status);
		}

		if (callerGone.aborted) {
			return this.#outcome('caller_left', 0);
		}

		health.failed(endpoint.id, 'broken', clock());
		logger.info('answer broken off', {
			request: requestName, endpoint: endpoint.id, status: answer.status, reason: passed.error,
		});
		return this.#outcome('broken_off', answer.status);
	}

	/** Starts another attempt after one that ended, where that is allowed. */
	async #goesOn({end, endpoint}: CallAttempt & {kind: 'ended'}): Promise<boolean> {
		const {route, answerBy, identity, care} = this.#exchange;
		await this.#settling.get(endpoint.id);
		if (care === 'trial' || this.#parts.suspects.isRefused(identity)) {
			return false;
		}

		const allowed = mayRunAgain({
			kind: route.kind, resumable: false, end, runs: this.#runs, maximumRuns: route.maximumAttempts, leftMilliseconds: answerBy - this.#parts.clock(),
		});
		return allowed && this.#retry(end);
	}

	/** Sends the call to one more endpoint, where there is one and the budget allows it. */
	async #retry(reason: string): Promise<boolean> {
		const endpoint = this.#choose();
		const allowed = endpoint !== undefined && await askRetryBudget(this.#exchange, reason, this.#parts);
		if (!allowed || this.#exchange.callerGone.aborted) {
			return false;
		}

		this.#start(endpoint);
		return true;
	}

	/** Waits for the end of an attempt, or until a time; `undefined` when the time came first or the caller left. */
	async #next(until: number): Promise<CallAttempt | undefined> {
		const {callerGone} = this.#exchange;
		if (callerGone.aborted) {
			return undefined;
		}

		let timer: NodeJS.Timeout | undefined;
		let onGone: (() => void) | undefined;
		const interrupted = new Promise<undefined>(resolve => {
			onGone = () => {
				resolve(undefined);
			};

			timer = setTimeout(onGone, Math.max(0, until - this.#parts.clock()));
			callerGone.addEventListener('abort', onGone);
		});
		const step = await Promise.race([...this.#pending.values(), interrupted]);
		clearTimeout(timer);
		callerGone.removeEventListener('abort', onGone!);
		if (step) {
			this.#pending.delete(step.endpoint.id);
		}

		return step;
	}

	#choose(): EndpointEntry | undefined {
		const {loads, health, availabilityZone, clock, random} = this.#parts;
		const {usable, firstEnd} = usableEndpoints(this.#exchange.service.name, this.#parts);
		this.#firstQuietEnd = firstEnd;
		return chooseEndpoint({
			endpoints: usable, tried: this.#tried, loads, health, availabilityZone, now: clock(), random,
		});
	}

	#start(endpoint: EndpointEntry): void {
		this.#tried.add(endpoint.id);
		this.#runs += 1;
		this.#pending.set(endpoint.id, this.#attempt(endpoint).then(ended => {
			this.#note(ended);
			return ended;
		}));
	}

	async #attempt(endpoint: EndpointEntry): Promise<CallAttempt> {
		const {request, body, terms, workspace, route, answerBy} = this.#exchange;
		const ended = this.#parts.loads.started(endpoint.id, 0);
		try {
			const sent = await sendRequest({
				agent: this.#parts.connections.agent(route.kind === 'idempotent' ? 'kept' : 'fresh'),
				address: endpoint.address,
				method: request.method!,
				target: request.url!,
				rawHeaders: encodeSendHeaders(request.rawHeaders, {
					endpointId: endpoint.id,
					workspace: workspace?.name,
					deadlineMilliseconds: answerBy - this.#parts.clock(),
					priority: undefined,
					lastEvent: terms.lastEvent,
					copyTo: undefined,
					goOnFrom: undefined,
				}),
				body,
				attempt: terms.attempt,
				connectMilliseconds,
				signal: this.#endingOf(endpoint).signal,
			});
			if (sent.kind === 'answer') {
				obeyWishes(endpoint, sent.answer, this.#parts);
				return await readAnswer({
					endpoint, answer: sent.answer, kind: route.kind, held: this.#holdFor(endpoint),
				});
			}

			const unreachable = sent.kind === 'not-sent';
			return {
				kind: 'ended', endpoint, end: unreachable ? 'not-run' : 'lost', failure: unreachable ? 'unreachable' : 'broken', message: sent.message,
			};
		} finally {
			ended();
		}
	}

	#endingOf({id}: EndpointEntry): AbortController {
		const ending = this.#endings.get(id) ?? new AbortController();
		this.#endings.set(id, ending);
		return ending;
	}

	/** Begins to hold an answer, until the caller has its own or has left. */
	#holdFor({id}: EndpointEntry): HeldAnswer {
		const held = this.#parts.heldAnswers.begin();
		this.#heldOf.set(id, held);
		return held;
	}

	#endOthers({id}: EndpointEntry): void {
		this.#hasEnded = true;
		for (const [other, ending] of this.#endings) {
			if (other !== id) {
				ending.abort();
				this.#heldOf.get(other)?.release();
			}
		}
	}

	#endAll(): void {
		const {response} = this.#exchange;
		this.#hasEnded = true;
		for (const ending of this.#endings.values()) {
			ending.abort();
		}

		const release = () => {
			for (const held of this.#heldOf.values()) {
				held.release();
			}
		};

		if (response.closed || response.destroyed) {
			release();
		} else {
			response.once('close', release);
		}
	}

	/** Remembers what an attempt says of its endpoint. */
	#note(attempt: CallAttempt): void {
		const {endpoints, health, logger, clock} = this.#parts;
		const {endpoint} = attempt;
		if (this.#hasEnded) {
			if (attempt.kind === 'ended' && attempt.end === 'lost' && !this.#exchange.callerGone.aborted) {
				health.failed(endpoint.id, 'broken', clock());
			}

			if (this.#timedOut) {
				this.#parts.lostAttempts.watch(this.#lostAt(endpoint));
			}

			return;
		}

		if (attempt.kind === 'begun') {
			return;
		}

		if (attempt.kind === 'answered') {
			health.succeeded(endpoint.id, clock());
			return;
		}

		if (attempt.end === 'not-run') {
			this.#runs -= 1;
		}

		if (attempt.failure) {
			health.failed(endpoint.id, attempt.failure, clock());
		} else {
			endpoints.refuse(endpoint.id, endpoint.startedAt);
		}

		logger.info('attempt failed', {
			request: this.#exchange.requestName, endpoint: endpoint.id, end: attempt.end, reason: attempt.message, runs: this.#runs,
		});
		if (attempt.end === 'lost') {
			this.#settle(endpoint);
		}
	}

	/** Has it found out what became of an endpoint that lost the answer. */
	#settle(endpoint: EndpointEntry): void {
		this.#settling.set(endpoint.id, this.#parts.lostAttempts.settle(this.#lostAt(endpoint)));
	}

	#lostAt(endpoint: EndpointEntry): LostAttempt {
		const {identity, requestName} = this.#exchange;
		return {
			identity, requestName, endpoint, events: 0,
		};
	}

	#giveUp({end, message, answer, retryAfterMilliseconds}: CallAttempt & {kind: 'ended'}): ExchangeOutcome {
		if (this.#exchange.callerGone.aborted) {
			return this.#outcome('caller_left', 0);
		}

		if (answer && end === 'failed') {
			sendWholeAnswer(this.#exchange.response, answer.status, answer.rawHeaders, answer.body);
			return this.#outcome('endpoint_failed', answer.status);
		}

		if (this.#runs === 0) {
			return this.#refuse({
				status: 503, code: 'not_run', message: `No endpoint took the request: ${message}`, retryAfterMilliseconds: retryAfterMilliseconds ?? this.#comeBackMilliseconds(),
			});
		}

		return this.#refuse({status: 502, code: 'answer_lost', message: `The request may have run, and its answer is lost: ${message}`});
	}

	/** When the caller may come back: once an endpoint takes requests again, where all want to be left alone. */
	#comeBackMilliseconds(): number {
		return this.#firstQuietEnd === undefined ? comeBackMilliseconds : Math.max(1, this.#firstQuietEnd - this.#parts.clock());
	}

	#refuse(refusal: Refusal): ExchangeOutcome {
		sendRefusal(this.#exchange.response, refusal);
		return this.#outcome(refusal.code, refusal.status);
	}

	#outcome(outcome: string, status: number): ExchangeOutcome {
		return {outcome, status, endpoints: [...this.#tried]};
	}
}
