/**
 * Forwards a call to a plain service.
 *
 * @module
 */
import {chooseEndpoint} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {
	passAnswerOn, sendRefusal, sendWholeAnswer, type Refusal,
} from './answer-caller.ts';
import {comeBackAfter, usableEndpoints} from './endpoint-signals.ts';
import {askRetryBudget} from './ask-retry-budget.ts';
import {type CallAttempt} from './call-attempt.ts';
import {CallAttempts} from './call-attempts.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingParts} from './forwarding-parts.ts';
import {type LostAttempt} from './lost-attempts.ts';
import {mayRunAgain} from './retry-decision.ts';
import {sendCallAttempt} from './send-call-attempt.ts';

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
	readonly #attempts: CallAttempts;
	/** What becomes of endpoints that lost an answer, by their names. */
	readonly #settling = new Map<string, Promise<void>>();
	#runs = 0;
	#timedOut = false;

	constructor(exchange: Exchange, parts: ForwardingParts) {
		this.#exchange = exchange;
		this.#parts = parts;
		this.#attempts = new CallAttempts({heldAnswers: parts.heldAnswers, callerGone: exchange.callerGone, clock: parts.clock});
	}

	async run(): Promise<ExchangeOutcome> {
		try {
			return await this.#serve();
		} finally {
			this.#attempts.endAll(this.#exchange.response);
		}
	}

	async #serve(): Promise<ExchangeOutcome> {
		const {response, route} = this.#exchange;
		const hedgeAt = this.#exchange.arrivedAt + Math.max(shortestHedgeMilliseconds, route.targetMilliseconds * hedgeShare);
		let mayHedge = route.kind === 'idempotent' && route.maximumAttempts > 1 && this.#exchange.care === 'none';
		const first = this.#choose();
		if (!first) {
			return this.#refuse({
				status: 503, code: 'no_endpoint', message: 'No endpoint of the service can be used now.', retryAfterMilliseconds: this.#comeBackAfter(),
			});
		}

		this.#start(first);
		for (;;) {
			const step = await this.#attempts.next(mayHedge ? Math.min(hedgeAt, this.#exchange.answerBy) : this.#exchange.answerBy);
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
			if (!goesOn && this.#attempts.pending === 0) {
				return this.#giveUp(step);
			}
		}
	}

	/** Passes on an answer that is too large to be held, as it comes; the other attempts end. */
	async #passOn({endpoint, answer}: CallAttempt & {kind: 'begun'}): Promise<ExchangeOutcome> {
		const {response, answerBy, callerGone, requestName} = this.#exchange;
		const {loads, health, logger, clock} = this.#parts;
		const signal = this.#attempts.keepOnly(endpoint, answerBy);
		const ended = loads.trackRequest(endpoint.id, 0);
		const passed = await passAnswerOn(response, answer, signal);
		ended();
		if (passed.isOk()) {
			health.recordSuccess(endpoint.id, clock());
			return this.#outcome('answered', answer.status);
		}

		if (callerGone.aborted) {
			return this.#outcome('caller_left', 0);
		}

		health.recordFailure(endpoint.id, 'broken', clock());
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

	#choose(): EndpointEntry | undefined {
		const {loads, health, availabilityZone, clock, random} = this.#parts;
		return chooseEndpoint({
			endpoints: usableEndpoints(this.#exchange.service.name, this.#parts), tried: this.#tried, loads, health, availabilityZone, now: clock(), random,
		});
	}

	#start(endpoint: EndpointEntry): void {
		this.#tried.add(endpoint.id);
		this.#runs += 1;
		this.#attempts.start(endpoint, async context => {
			const ended = await sendCallAttempt(endpoint, this.#exchange, context, this.#parts);
			this.#note(ended);
			return ended;
		});
	}

	/** Remembers what an attempt says of its endpoint. */
	#note(attempt: CallAttempt): void {
		const {endpoints, health, logger, clock} = this.#parts;
		const {endpoint} = attempt;
		if (this.#attempts.hasEnded) {
			if (attempt.kind === 'ended' && attempt.end === 'lost' && !this.#exchange.callerGone.aborted) {
				health.recordFailure(endpoint.id, 'broken', clock());
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
			health.recordSuccess(endpoint.id, clock());
			return;
		}

		if (attempt.end === 'not-run') {
			this.#runs -= 1;
		}

		if (attempt.failure) {
			health.recordFailure(endpoint.id, attempt.failure, clock());
		} else {
			endpoints.excludeIncarnation(endpoint.id, endpoint.startedAt);
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
				status: 503, code: 'not_run', message: `No endpoint took the request: ${message}`, retryAfterMilliseconds: this.#comeBackAfter(retryAfterMilliseconds),
			});
		}

		return this.#refuse({status: 502, code: 'answer_lost', message: `The request may have run, and its answer is lost: ${message}`});
	}

	#comeBackAfter(askedMilliseconds = comeBackMilliseconds): number {
		return comeBackAfter(this.#exchange.service.name, askedMilliseconds, this.#parts);
	}

	#refuse(refusal: Refusal): ExchangeOutcome {
		sendRefusal(this.#exchange.response, refusal);
		return this.#outcome(refusal.code, refusal.status);
	}

	#outcome(outcome: string, status: number): ExchangeOutcome {
		return {outcome, status, endpoints: [...this.#tried]};
	}
}
