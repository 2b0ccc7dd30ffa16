/**
 * Forwards a generation as one response, continuing on another engine if one is lost.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type EndpointEntry} from '../registry/mod.ts';
import {settleInTime, type WaitEnd} from '../supervision/settle-in-time.ts';
import {admitAgain} from './admit-again.ts';
import {crashCauseEventLimit} from './crash-detector.ts';
import {recordSignals} from './endpoint-signals.ts';
import {EngineRounds} from './engine-rounds.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';
import {
	runGenerationAttempt, type AttemptTarget, type GenerationEnd,
} from './generation-attempt.ts';
import {GenerationEnding, type GenerationFailure} from './generation-ending.ts';
import {type GenerationProgress} from './generation-progress.ts';
import {GenerationTargets} from './generation-targets.ts';
import {mayRetry, type AttemptEnd} from './retry-decision.ts';
import {type EngineCondition} from './silence-decision.ts';
import {recordGenerationVersion} from './version-outcome.ts';

/** Output tokens assumed if the request does not state a maximum. */
const defaultOutputTokens = 800;

/** Time from the arrival of a generation for which it stays at an engine whose queue moves, as a multiple of its target time; callers wait for four. */
const queueWatchMultiple = 3;

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
	/** Whether the engine that ran the generation last was lost, or left. */
	#isLost = false;
	/** Number of engines in a row that responded and were left before an event of the attempt arrived. */
	#leftBeforeFirstEvent = 0;
	readonly #ending: GenerationEnding;
	/** The last unsuccessful attempt, for the final answer. */
	#failure: GenerationFailure = {message: 'no engine of the service is known'};
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
		this.#ending = new GenerationEnding({
			exchange, dependencies, attempted: this.#attempted, progress: this.#progress,
		});
	}

	async run(): Promise<ExchangeOutcome> {
		for (;;) {
			const chosen = await this.#inTime(this.#targets.choose(this.#copyHolder));
			if (chosen.isErr()) {
				return this.#giveUp();
			}

			const target = chosen.value;
			if (!target) {
				const mayChooseAgain = this.#mayRepeat('not-run') ? await this.#inTime(this.#nextRound()) : ok(false);
				if (mayChooseAgain.unwrapOr(false)) {
					continue;
				}

				return this.#giveUp();
			}

			const mayStart = await this.#inTime(this.#mayStart());
			if (!mayStart.unwrapOr(false)) {
				return this.#giveUp();
			}

			const admitted = await admitAgain(this.#exchange, this.#dependencies);
			if (admitted.isErr()) {
				return admitted.error.kind === 'refused' ? this.#ending.refuse(admitted.error.retryAfterMilliseconds, this.#runs) : this.#giveUp();
			}

			this.#eventsBefore = this.#progress.events;
			const end = await this.#attempt(target);
			this.#copyHolder = end.kind === 'lost' ? this.#usableCopyHolder(target) : undefined;
			if (end.kind === 'finished') {
				return this.#ending.outcome('answered', end.status);
			}

			if (end.kind === 'caller-disconnected') {
				return this.#giveUp();
			}

			this.#failure = {
				message: end.kind === 'failed' ? `the engine answered ${end.status}` : end.message,
				retryAfterMilliseconds: end.kind === 'not-run' ? end.retryAfterMilliseconds : undefined,
			};
			this.#recordEnd(target, end, this.#failure.message);
			const mayRetry = await this.#inTime(this.#prepareRetry(target.endpoint, end.kind));
			if (!mayRetry.unwrapOr(false)) {
				return end.kind === 'failed' ? this.#ending.forwardFailure(end, this.#failure, this.#runs) : this.#giveUp();
			}
		}
	}

	/** Waits until the deadline, or until the caller disconnects. */
	async #inTime<Value>(promise: Promise<Value>): Promise<Result<Value, WaitEnd>> {
		const {deadline: until, callerDisconnected: signal} = this.#exchange;
		return settleInTime(promise, {until, signal, clock: this.#dependencies.clock});
	}

	async #attempt(target: AttemptTarget): Promise<GenerationEnd> {
		this.#tried.add(target.endpoint.id);
		this.#attempted.push(target.endpoint.id);
		this.#targets.retry.use();
		this.#runs += 1;
		const endLoad = this.#dependencies.loads.trackRequest(target.endpoint.id, this.#tokens);
		const sentAt = this.#dependencies.clock();
		this.#exchange.versions?.recordSent(target.endpoint);
		try {
			const end = await runGenerationAttempt({
				exchange: this.#exchange,
				target,
				progress: this.#progress,
				targetMilliseconds: this.#exchange.route.targetMilliseconds * (2 ** this.#leftBeforeFirstEvent),
				// An idle pooled connection may be dead, and a copy can be resumed from only once.
				agent: this.#dependencies.connections.agent('proven', target.endpoint.address),
				responseBuffers: this.#dependencies.responseBuffers,
				queueWatchedUntil: this.#queueWatchedUntil,
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
			recordGenerationVersion(this.#exchange, target.endpoint, {end, milliseconds: this.#dependencies.clock() - sentAt, hasBegun: this.#progress.events > this.#eventsBefore});
			return end;
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

		this.#isLost = end.kind === 'lost' || (end.kind === 'not-run' && this.#isLost);
		this.#countSlowEngine(end);
		this.#rounds.recordEnd(endpoint.id, end.kind === 'not-run' || (end.kind === 'lost' && end.isSilent) ? 'again' : 'never');
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
			priority: this.#exchange.enginePriority,
		});
	}

	#countSlowEngine(end: GenerationEnd & {kind: 'not-run' | 'lost' | 'failed'}): void {
		if (this.#progress.events > this.#eventsBefore) {
			this.#leftBeforeFirstEvent = 0;
		} else if (end.kind === 'lost' && end.isSilent && !end.unreachable) {
			this.#leftBeforeFirstEvent += 1;
		}
	}

	/** Prepares to send the generation to another engine after an attempt; returns whether it may be. */
	async #prepareRetry(endpoint: EndpointEntry, end: AttemptEnd): Promise<boolean> {
		if (end === 'not-run') {
			await this.#rounds.pace();
		} else if (end === 'lost') {
			const {identity, requestName} = this.#exchange;
			await this.#dependencies.crashDetector.checkForCrash({
				identity, requestName, endpoint, events: this.#progress.events - this.#eventsBefore,
			});
		}

		return this.#acquireRetry(end);
	}

	/** Whether the generation is sent to another engine after an attempt; one that can't be answered otherwise waits until the retry budget allows it. */
	async #acquireRetry(end: AttemptEnd): Promise<boolean> {
		while (!this.#exchange.callerDisconnected.aborted && this.#mayRepeat(end)) {
			if (this.#targets.hasAlternative || await this.#takeRetry(end)) {
				return true;
			}

			if (!await this.#nextRound()) {
				return false;
			}
		}

		return false;
	}

	/** Time until which the generation stays at an engine whose queue moves: its caller must still have time for another one. */
	get #queueWatchedUntil(): number {
		const {arrivedAt, route: {targetMilliseconds}} = this.#exchange;
		return this.#dependencies.features.engineQueues ? arrivedAt + (targetMilliseconds * queueWatchMultiple) : Number.NEGATIVE_INFINITY;
	}

	/** Takes a retry, unless one was taken a moment ago and not used; one that can't be answered otherwise waits for it. */
	async #takeRetry(reason: string): Promise<boolean> {
		return this.#targets.retry.take(reason, {waits: this.#isLost || this.#exchange.response.headersSent});
	}

	/** Whether an attempt may start: a further one needs a retry, which may have been held for too long while the generation waited for an engine. */
	async #mayStart(): Promise<boolean> {
		return this.#attempted.length === 0 || this.#takeRetry('waited');
	}

	async #nextRound(): Promise<boolean> {
		return this.#rounds.next({isLost: this.#isLost});
	}

	/** Whether the generation may be sent to another engine after an attempt, the retry budget aside. */
	#mayRepeat(end: AttemptEnd): boolean {
		const {route, deadline, handling} = this.#exchange;
		return handling !== 'trial' && mayRetry({
			kind: route.kind, resumable: route.resumable, end, runs: this.#runs, maximumRuns: route.maximumAttempts, remainingMilliseconds: deadline - this.#dependencies.clock(),
		});
	}

	#giveUp(): ExchangeOutcome {
		return this.#ending.giveUp(this.#failure, this.#runs);
	}
}
