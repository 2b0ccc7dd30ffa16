/**
 * Forwards a generation, over several engines where one is lost, as one answer.
 *
 * @module
 */
import {chooseCopyHolder, type QueriedEngine} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {sendRefusal, sendWholeAnswer, type Refusal} from './answer-caller.ts';
import {comeBackAfter, noteSignals} from './endpoint-signals.ts';
import {askRetryBudget} from './ask-retry-budget.ts';
import {EnginePlacing} from './engine-placing.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingParts} from './forwarding-parts.ts';
import {
	runGenerationAttempt, type AttemptTarget, type GenerationEnd, type GenerationProgress,
} from './generation-attempt.ts';
import {mayRunAgain, type AttemptEnd} from './retry-decision.ts';

/** When a caller may come back that found no engine, in milliseconds. */
const comeBackMilliseconds = 500;

/** Tokens of an answer that does not say how many it has. */
const unknownOutputTokens = 800;

/**
 * Forwards a generation and answers the caller.
 *
 * @param exchange The generation.
 * @param parts The router's other parts.
 * @returns How it ended.
 */
export async function forwardGeneration(exchange: Exchange, parts: ForwardingParts): Promise<ExchangeOutcome> {
	return new GenerationForwarding(exchange, parts).run();
}

class GenerationForwarding {
	readonly #exchange: Exchange;
	readonly #parts: ForwardingParts;
	readonly #progress: GenerationProgress;
	readonly #tried = new Set<string>();
	readonly #asked: string[] = [];
	readonly #tokens: number;
	#copyHolder: EndpointEntry | undefined;
	readonly #placing: EnginePlacing;
	/** Engines of the last question, in order of their load. */
	#ranked: readonly QueriedEngine[] = [];
	#runs = 0;

	constructor(exchange: Exchange, parts: ForwardingParts) {
		this.#exchange = exchange;
		this.#parts = parts;
		this.#progress = {
			lastEvent: exchange.terms.lastEvent, events: 0, eventAt: exchange.arrivedAt, firstEventMilliseconds: undefined, longestPauseMilliseconds: 0,
		};
		this.#tokens = exchange.terms.promptTokens + (exchange.terms.outputTokens || unknownOutputTokens);
		this.#placing = new EnginePlacing({
			exchange, parts, tried: this.#tried, tokens: this.#tokens,
		});
	}

	async run(): Promise<ExchangeOutcome> {
		let message = 'no engine of the service is known';
		let retryAfterMilliseconds: number | undefined;
		for (;;) {
			const target = await this.#chooseTarget();
			if (this.#exchange.callerGone.aborted) {
				return this.#outcome('caller_left', 0);
			}

			if (!target) {
				return this.#giveUp(message, retryAfterMilliseconds);
			}

			const eventsBefore = this.#progress.events;
			const end = await this.#attempt(target);
			// Only an engine that has made events can have sent a copy.
			this.#copyHolder = end.kind === 'lost' && this.#progress.events > eventsBefore ? target.copyHolder : undefined;
			if (end.kind === 'finished') {
				return this.#outcome('answered', end.status);
			}

			if (end.kind === 'caller-left') {
				return this.#outcome('caller_left', 0);
			}

			message = end.kind === 'failed' ? `the engine answered ${end.status}` : end.message;
			retryAfterMilliseconds = end.kind === 'not-run' ? end.retryAfterMilliseconds : undefined;
			this.#note(target, end, message);
			if (end.kind === 'lost') {
				await this.#settle(target.endpoint, this.#progress.events - eventsBefore);
			}

			const goesOn = await this.#goesOn(endOfAttempt(end));
			if (!goesOn) {
				return end.kind === 'failed' && !this.#exchange.response.headersSent ? this.#passFailure(end) : this.#giveUp(message, retryAfterMilliseconds);
			}
		}
	}

	async #attempt(target: AttemptTarget): Promise<GenerationEnd> {
		this.#tried.add(target.endpoint.id);
		this.#asked.push(target.endpoint.id);
		this.#runs += 1;
		const ended = this.#parts.loads.trackRequest(target.endpoint.id, this.#tokens);
		try {
			return await runGenerationAttempt({
				exchange: this.#exchange,
				target,
				progress: this.#progress,
				// An unused connection may be dead, and a copy can be gone on from once only.
				agent: this.#parts.connections.agent('fresh'),
				heldAnswers: this.#parts.heldAnswers,
				ask: async () => this.#placing.ask(target.endpoint, 'silent'),
				onAnswer: answer => {
					noteSignals(target.endpoint, answer, this.#parts);
				},
				clock: this.#parts.clock,
			});
		} finally {
			ended();
		}
	}

	/** Chooses the engine that holds a copy, without asking any, or else the one with the least work before it. */
	async #chooseTarget(): Promise<AttemptTarget | undefined> {
		const holder = this.#copyHolder;
		this.#copyHolder = undefined;
		const goesOnFromCopy = holder !== undefined && this.#placing.isUsable(holder);
		if (!goesOnFromCopy) {
			this.#ranked = await this.#placing.rank();
		}

		const endpoint = goesOnFromCopy ? holder : this.#ranked[0]?.endpoint;
		return endpoint && {endpoint, goOnFrom: goesOnFromCopy ? holder : undefined, copyHolder: this.#chooseCopyHolder(endpoint)};
	}

	#chooseCopyHolder(engine: EndpointEntry): EndpointEntry | undefined {
		const {service, route} = this.#exchange;
		if (service.engine?.backups !== true || !route.resumable) {
			return undefined;
		}

		const usable = this.#ranked.filter(({endpoint}) => this.#placing.isUsable(endpoint));
		return chooseCopyHolder(usable, engine, this.#tokens);
	}

	/** Remembers what the end of an attempt says of its engine. */
	#note({endpoint, goOnFrom}: AttemptTarget, end: GenerationEnd & {kind: 'not-run' | 'lost' | 'failed'}, reason: string): void {
		const {health, endpoints, clock, logger} = this.#parts;
		if (end.kind === 'not-run') {
			this.#runs -= 1;
		}

		if (end.kind === 'not-run' && end.status === 421) {
			endpoints.excludeIncarnation(endpoint.id, endpoint.startedAt);
		} else if (end.kind === 'failed') {
			health.recordFailure(endpoint.id, 'failed', clock());
		} else if (end.kind === 'not-run' && !end.unreachable) {
			if (goOnFrom) {
				// The engine lost its copy; it may still run the generation from its prompt.
				this.#tried.delete(endpoint.id);
			} else {
				health.recordFailure(endpoint.id, 'full', clock());
			}
		} else {
			health.recordFailure(endpoint.id, end.unreachable ? 'unreachable' : 'broken', clock());
		}

		logger.info('attempt failed', {
			request: this.#exchange.requestName,
			endpoint: endpoint.id,
			end: end.kind,
			reason,
			runs: this.#runs,
			events: this.#progress.events,
			lastEvent: this.#progress.lastEvent,
			copyHolder: this.#copyHolder?.id,
			goOnFrom: goOnFrom?.id,
		});
	}

	/** Has it found out what became of an engine that lost the answer. */
	async #settle(endpoint: EndpointEntry, events: number): Promise<void> {
		const {identity, requestName} = this.#exchange;
		await this.#parts.lostAttempts.settle({
			identity, requestName, endpoint, events,
		});
	}

	async #goesOn(end: AttemptEnd): Promise<boolean> {
		const {route, answerBy, identity, care} = this.#exchange;
		if (care === 'trial' || this.#parts.suspects.isRefused(identity)) {
			return false;
		}

		const allowed = mayRunAgain({
			kind: route.kind, resumable: route.resumable, end, runs: this.#runs, maximumRuns: route.maximumAttempts, leftMilliseconds: answerBy - this.#parts.clock(),
		});
		return allowed && askRetryBudget(this.#exchange, end, this.#parts);
	}

	#passFailure({status, rawHeaders, body}: GenerationEnd & {kind: 'failed'}): ExchangeOutcome {
		sendWholeAnswer(this.#exchange.response, status, rawHeaders, body);
		return this.#outcome('endpoint_failed', status);
	}

	#giveUp(message: string, askedMilliseconds: number | undefined): ExchangeOutcome {
		const {response, answerBy} = this.#exchange;
		if (response.headersSent) {
			// A caller sees by the cut connection that the answer is not whole.
			response.destroy();
			return this.#outcome('broken_off', 200);
		}

		if (this.#runs === 0) {
			return this.#refuse({
				status: 503, code: 'not_run', message: `No engine took the request: ${message}`, retryAfterMilliseconds: comeBackAfter(this.#exchange.service.name, askedMilliseconds ?? comeBackMilliseconds, this.#parts),
			});
		}

		return this.#parts.clock() >= answerBy
			? this.#refuse({status: 504, code: 'timeout', message: 'No engine answered in time.'})
			: this.#refuse({status: 502, code: 'answer_lost', message: `The request may have run, and its answer is lost: ${message}`});
	}

	#refuse(refusal: Refusal): ExchangeOutcome {
		sendRefusal(this.#exchange.response, refusal);
		return this.#outcome(refusal.code, refusal.status);
	}

	#outcome(outcome: string, status: number): ExchangeOutcome {
		const {events, firstEventMilliseconds, longestPauseMilliseconds} = this.#progress;
		return {
			outcome,
			status,
			endpoints: this.#asked,
			generation: {
				events,
				firstEventMilliseconds: firstEventMilliseconds === undefined ? undefined : Math.round(firstEventMilliseconds),
				longestPauseMilliseconds: Math.round(longestPauseMilliseconds),
			},
		};
	}
}

function endOfAttempt({kind}: GenerationEnd & {kind: 'not-run' | 'lost' | 'failed'}): AttemptEnd {
	return kind === 'failed' ? 'failed' : kind;
}
