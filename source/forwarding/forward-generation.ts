/**
 * Forwards a generation as one response, continuing on another engine if one is lost.
 *
 * @module
 */
import {type EndpointEntry} from '../beliefs/mod.ts';
import {sendErrorResponse, sendCompleteResponse, type ErrorResponse} from './caller-response.ts';
import {
	computeRetryAfter, isRejectedByLimit, recordSignals, type RequestClass,
} from './endpoint-signals.ts';
import {closingOutcomes, disconnectedOutcome} from './closing-reason.ts';
import {acquireRetry} from './acquire-retry.ts';
import {admitAgain} from './admit-again.ts';
import {crashCauseEventLimit} from './crash-detector.ts';
import {EngineRounds} from './engine-rounds.ts';
import {crashesEndpoints, type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';
import {
	runGenerationAttempt, type AttemptTarget, type GenerationEnd,
} from './generation-attempt.ts';
import {describeProgress, type GenerationProgress} from './generation-progress.ts';
import {GenerationTargets} from './generation-targets.ts';
import {mayRetry, type AttemptEnd} from './retry-decision.ts';
import {type EngineCondition} from './silence-decision.ts';

/** Default `Retry-After` if no engine is available, in milliseconds. */
const defaultRetryAfterMilliseconds = 500;

/** Output tokens assumed if the request does not state a maximum. */
const defaultOutputTokens = 800;

/**
 * Forwards a generation and responds to the caller.
 *
 * @param exchange The generation.
 * @param dependencies Components of the gateway that all requests share.
 * @returns Outcome of the generation.
 */
export async function forwardGeneration(exchange: Exchange, dependencies: ForwardingDependencies): Promise<ExchangeOutcome> {
	return new GenerationForwarder(exchange, dependencies).run();
}

class GenerationForwarder {
	readonly #exchange: Exchange;
	readonly #dependencies: ForwardingDependencies;
	readonly #progress: GenerationProgress;
	/** Ids of engines that must not be used again for this generation. */
	readonly #tried = new Set<string>();
	/** Ids of the engines of all attempts, in order. */
	readonly #attempted: string[] = [];
	/** Estimated tokens of the generation: prompt and output. */
	readonly #tokens: number;
	/** Engine that may hold a copy of the KV cache from which the next attempt can resume. */
	#copyHolder: EndpointEntry | undefined;
	readonly #targets: GenerationTargets;
	readonly #rounds: EngineRounds;
	/** Number of events forwarded before the present attempt. */
	#eventsBefore = 0;
	/** Number of attempts in progress, or that ran or may have run. */
	#runs = 0;
	/** Whether an engine has written enough of the answer to show that the parts of the prompt are sound. */
	#hasServedParts = false;

	constructor(exchange: Exchange, dependencies: ForwardingDependencies) {
		this.#exchange = exchange;
		this.#dependencies = dependencies;
		this.#progress = {
			lastEventId: exchange.terms.lastEvent, events: 0, lastEventAt: exchange.arrivedAt, firstEventMilliseconds: undefined, longestPauseMilliseconds: 0,
		};
		this.#tokens = exchange.terms.promptTokens + (exchange.terms.outputTokens || defaultOutputTokens);
		this.#targets = new GenerationTargets({
			exchange, dependencies, tried: this.#tried, tokens: this.#tokens,
		});
		this.#rounds = new EngineRounds({exchange, dependencies, tried: this.#tried});
	}

	async run(): Promise<ExchangeOutcome> {
		let message = 'no engine of the service is known';
		let retryAfterMilliseconds: number | undefined;
		for (;;) {
			const target = await this.#targets.choose(this.#copyHolder);
			if (this.#exchange.callerDisconnected.aborted) {
				return this.#disconnected();
			}

			if (!target) {
				if (this.#mayRepeat('not-run') && await this.#rounds.next()) {
					continue;
				}

				return this.#giveUp(message, retryAfterMilliseconds);
			}

			const refusal = await admitAgain(this.#exchange, this.#dependencies.suspects);
			if (refusal) {
				return this.#giveUpRefused(refusal.retryAfterMilliseconds);
			}

			this.#eventsBefore = this.#progress.events;
			const end = await this.#attempt(target);
			this.#copyHolder = end.kind === 'lost' ? this.#usableCopyHolder(target) : undefined;
			if (end.kind === 'finished') {
				return this.#outcome('answered', end.status);
			}

			if (end.kind === 'caller-disconnected') {
				return this.#disconnected();
			}

			message = end.kind === 'failed' ? `the engine answered ${end.status}` : end.message;
			retryAfterMilliseconds = end.kind === 'not-run' ? end.retryAfterMilliseconds : undefined;
			this.#recordEnd(target, end, message);
			if (end.kind === 'not-run') {
				await this.#rounds.pace();
			} else if (end.kind === 'lost') {
				await this.#checkForCrash(target.endpoint, this.#progress.events - this.#eventsBefore);
			}

			const mayRetry = await this.#mayRetry(end.kind);
			if (this.#exchange.callerDisconnected.aborted) {
				return this.#disconnected();
			}

			if (!mayRetry) {
				return end.kind === 'failed' && !this.#exchange.response.headersSent ? this.#forwardFailure(end) : this.#giveUp(message, retryAfterMilliseconds);
			}
		}
	}

	async #attempt(target: AttemptTarget): Promise<GenerationEnd> {
		this.#tried.add(target.endpoint.id);
		this.#attempted.push(target.endpoint.id);
		this.#runs += 1;
		const endLoad = this.#dependencies.loads.trackRequest(target.endpoint.id, this.#tokens);
		const sentAt = this.#dependencies.clock();
		try {
			return await runGenerationAttempt({
				exchange: this.#exchange,
				target,
				progress: this.#progress,
				// An idle pooled connection may be dead, and a copy can be resumed from only once.
				agent: this.#dependencies.connections.agent('fresh'),
				responseBuffers: this.#dependencies.responseBuffers,
				queryLoad: async () => this.#targets.queryLoad(target.endpoint),
				acquireAlternative: async condition => this.#acquireAlternative(target, condition),
				onEvents: events => {
					if (events >= crashCauseEventLimit && !this.#hasServedParts) {
						this.#hasServedParts = true;
						void this.#dependencies.suspects.recordServedParts(this.#exchange.identity);
					}
				},
				onResponse: endpointResponse => {
					recordSignals(target.endpoint, {...endpointResponse, sentAt}, this.#dependencies);
				},
				clock: this.#dependencies.clock,
			});
		} finally {
			endLoad();
		}
	}

	/** Acquires another target for a generation whose engine is silent; false if it may not be sent again, or no other engine responds. */
	async #acquireAlternative(target: AttemptTarget, condition: EngineCondition): Promise<boolean> {
		return this.#mayRepeat('lost') && this.#targets.acquireAlternative(this.#usableCopyHolder(target), condition);
	}

	/** Returns the engine that may hold a copy of the present attempt: only an engine that has generated events can have sent one. */
	#usableCopyHolder({copyHolder}: AttemptTarget): EndpointEntry | undefined {
		return this.#progress.events > this.#eventsBefore ? copyHolder : undefined;
	}

	/** Records the engine's health from the end of an attempt. */
	#recordEnd({endpoint, resumeFrom}: AttemptTarget, end: GenerationEnd & {kind: 'not-run' | 'lost' | 'failed'}, reason: string): void {
		const {health, endpoints, clock, logger} = this.#dependencies;
		if (end.kind === 'not-run') {
			this.#runs -= 1;
		}

		if (end.kind === 'not-run' || (end.kind === 'lost' && end.isSilent)) {
			this.#rounds.recordRefusal(endpoint.id);
		}

		if (end.kind === 'not-run' && end.status === 421) {
			endpoints.excludeIncarnation(endpoint.id, endpoint.startedAt);
		} else if (end.kind === 'failed') {
			health.recordFailure(endpoint.id, 'failed', clock());
		} else if (end.kind === 'not-run' && !end.unreachable) {
			if (resumeFrom) {
				// The engine lost its copy; it can still run the generation from the prompt.
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
			lastEvent: this.#progress.lastEventId,
			copyHolder: this.#copyHolder?.id,
			goOnFrom: resumeFrom?.id,
		});
	}

	/** Checks whether an engine that lost the response has crashed. */
	async #checkForCrash(endpoint: EndpointEntry, events: number): Promise<void> {
		const {identity, requestName} = this.#exchange;
		await this.#dependencies.crashDetector.checkForCrash({
			identity, requestName, endpoint, events,
		});
	}

	/** Whether the generation is sent to another engine after an attempt; a stream that has begun waits until the retry budget allows it. */
	async #mayRetry(end: AttemptEnd): Promise<boolean> {
		while (this.#mayRepeat(end)) {
			if (this.#targets.hasAlternative || await acquireRetry(this.#exchange, end, this.#dependencies)) {
				return true;
			}

			if (!await this.#rounds.next()) {
				return false;
			}
		}

		return false;
	}

	/** Whether the generation may be sent to another engine after an attempt, the retry budget aside. */
	#mayRepeat(end: AttemptEnd): boolean {
		const {route, deadline, handling} = this.#exchange;
		return handling !== 'trial' && mayRetry({
			kind: route.kind, resumable: route.resumable, end, runs: this.#runs, maximumRuns: route.maximumAttempts, remainingMilliseconds: deadline - this.#dependencies.clock(),
		});
	}

	#forwardFailure({status, rawHeaders, body}: GenerationEnd & {kind: 'failed'}): ExchangeOutcome {
		sendCompleteResponse(this.#exchange.response, status, rawHeaders, body);
		return this.#outcome('endpoint_failed', status);
	}

	#giveUp(message: string, requestedMilliseconds: number | undefined): ExchangeOutcome {
		const {response, deadline} = this.#exchange;
		if (response.headersSent) {
			// The closed connection shows the caller that the response is incomplete.
			const reason = this.#dependencies.callerConnections.close(response, 'broken-off', message);
			return this.#outcome(closingOutcomes[reason], reason === 'broken-off' ? 200 : 0);
		}

		if (this.#runs === 0) {
			return this.#sendError({
				status: 503,
				...this.#describeRejection(message),
				retryAfterMilliseconds: computeRetryAfter(this.#requestClass, requestedMilliseconds ?? defaultRetryAfterMilliseconds, this.#dependencies),
			});
		}

		return this.#dependencies.clock() >= deadline
			? this.#sendError({status: 504, code: 'timeout', message: 'No engine answered in time.'})
			: this.#sendError({status: 502, code: 'answer_lost', message: `The request may have run, and its answer is lost: ${message}`});
	}

	#giveUpRefused(retryAfterMilliseconds: number): ExchangeOutcome {
		return this.#runs === 0
			? this.#sendError({...crashesEndpoints, retryAfterMilliseconds})
			: this.#giveUp('requests like it crash engines', undefined);
	}

	#describeRejection(message: string): Pick<ErrorResponse, 'code' | 'message'> {
		if (!isRejectedByLimit(this.#requestClass, this.#dependencies)) {
			return {code: 'not_run', message: `No engine took the request: ${message}`};
		}

		this.#dependencies.countLimited(this.#exchange.service.name, 'rejected');
		return {code: 'endpoints_limited', message: 'The engines of the service take no more requests now.'};
	}

	get #requestClass(): RequestClass {
		return {service: this.#exchange.service.name, importance: this.#exchange.importance};
	}

	#sendError(error: ErrorResponse): ExchangeOutcome {
		sendErrorResponse(this.#exchange.response, error);
		return this.#outcome(error.code, error.status);
	}

	/** Outcome of a generation whose caller's connection has closed. */
	#disconnected(): ExchangeOutcome {
		return this.#outcome(disconnectedOutcome(this.#exchange.callerDisconnected), 0);
	}

	#outcome(outcome: string, status: number): ExchangeOutcome {
		return {
			outcome, status, endpoints: this.#attempted, generation: describeProgress(this.#progress),
		};
	}
}
