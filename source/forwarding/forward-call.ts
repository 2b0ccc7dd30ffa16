/**
 * Forwards a call to a plain service, which is one that does not stream generations.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {chooseEndpoint} from '../balancing/mod.ts';
import {acquireEndpoint} from './acquire-endpoint.ts';
import {acquireRetry} from './acquire-retry.ts';
import {AttemptPreparation} from './attempt-preparation.ts';
import {type CallAttemptResult} from './call-attempt-result.ts';
import {CallAttempts} from './call-attempts.ts';
import {CallEnding, type UnsuccessfulResult} from './call-ending.ts';
import {sendCompleteResponse} from './caller-response.ts';
import {usableEndpoints, type RequestClass} from './endpoint-signals.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';
import {type LostAttempt} from './crash-detector.ts';
import {hedgeDelay} from './hedge-delay.ts';
import {mayRetry} from './retry-decision.ts';
import {sendCallAttempt} from './send-call-attempt.ts';
import {streamCallResponse} from './stream-call-response.ts';
import {recordCallVersion} from './version-outcome.ts';

/**
 * Forwards a call, retrying at other endpoints if allowed, and responds to the caller.
 *
 * @param exchange The call.
 * @param dependencies Components of the gateway that all requests share.
 * @returns Outcome of the call.
 */
export async function forwardCall(exchange: Exchange, dependencies: ForwardingDependencies): Promise<ExchangeOutcome> {
	return new CallForwarder(exchange, dependencies).run();
}

/**
 * Forwards one call. It waits for the first of these: a finished attempt, a prepared one, the time of the hedge, the deadline, or that the
 * caller disconnects.
 */
class CallForwarder {
	readonly #exchange: Exchange;
	readonly #dependencies: ForwardingDependencies;
	readonly #tried = new Set<string>();
	readonly #attempts: CallAttempts;
	readonly #preparation = new AttemptPreparation();
	readonly #ending: CallEnding;
	/** Unsuccessful attempts after which a retry has not been considered yet. */
	readonly #failures: UnsuccessfulResult[] = [];
	/** The last unsuccessful attempt. */
	#lastFailure: UnsuccessfulResult | undefined;
	/** Checks for a crash of endpoints whose response was lost, by endpoint id. */
	readonly #crashChecks = new Map<string, Promise<void>>();
	/** Monotonic time at which the call is hedged, in milliseconds; infinite if it is not, or was. */
	#hedgeAt: number;
	/** Number of attempts in progress, or that ran or may have run. */
	#runs = 0;
	/** Whether the deadline passed before an endpoint responded. */
	#timedOut = false;
	/** When the attempt was sent whose response the caller gets. */
	#answeredAttemptSentAt = Number.NEGATIVE_INFINITY;

	constructor(exchange: Exchange, dependencies: ForwardingDependencies) {
		const {route, handling, arrivedAt, callerDisconnected} = exchange;
		const mayHedge = route.kind === 'idempotent' && route.maximumAttempts > 1 && handling === 'none';
		this.#exchange = exchange;
		this.#dependencies = dependencies;
		this.#attempts = new CallAttempts({responseBuffers: dependencies.responseBuffers, callerDisconnected, clock: dependencies.clock});
		this.#ending = new CallEnding({exchange, dependencies, tried: this.#tried});
		this.#hedgeAt = mayHedge ? arrivedAt + hedgeDelay(route.targetMilliseconds) : Number.POSITIVE_INFINITY;
	}

	async run(): Promise<ExchangeOutcome> {
		try {
			return await this.#serve();
		} finally {
			this.#attempts.abortAll(this.#exchange.delivered);
		}
	}

	async #serve(): Promise<ExchangeOutcome> {
		const {response, deadline, callerDisconnected} = this.#exchange;
		this.#preparation.start(this.#acquireEndpoint());
		for (;;) {
			const {pending} = this.#preparation;
			const result = await this.#attempts.next(pending ? deadline : Math.min(this.#hedgeAt, deadline), pending);
			if (callerDisconnected.aborted) {
				return this.#ending.disconnected();
			}

			if (result?.kind === 'streaming') {
				const signal = this.#attempts.abortOthers(result.endpoint, deadline);
				return streamCallResponse({
					exchange: this.#exchange, dependencies: this.#dependencies, ending: this.#ending, signal,
				}, result);
			}

			if (result?.kind === 'answered') {
				sendCompleteResponse(response, result.response.status, result.response.rawHeaders, result.response.body);
				return this.#ending.outcome('answered', result.response.status);
			}

			if (result) {
				this.#failures.push(result);
				this.#lastFailure = result;
			}

			const ended = this.#hasTimeLeft ? this.#advance() : this.#timeOut();
			if (ended) {
				return ended;
			}
		}
	}

	/** Starts the attempt that was prepared, and prepares the next one where it is due; returns the outcome if nothing is left to wait for. */
	#advance(): ExchangeOutcome | undefined {
		const prepared = this.#preparation.take();
		if (prepared?.endpoint && this.#mayStart) {
			this.#startAttempt(prepared.endpoint);
		}

		if (this.#preparation.pending) {
			return undefined;
		}

		const failure = this.#failures.shift();
		if (failure) {
			this.#preparation.start(this.#prepareRetryAfter(failure));
			return undefined;
		}

		if (this.#attempts.pending === 0) {
			return this.#lastFailure ? this.#ending.giveUp(this.#lastFailure, this.#runs) : this.#ending.rejectWithoutEndpoint();
		}

		if (this.#dependencies.clock() >= this.#hedgeAt) {
			this.#hedgeAt = Number.POSITIVE_INFINITY;
			if (this.#runs < this.#exchange.route.maximumAttempts) {
				this.#preparation.start(this.#prepareRetry('hedge'));
			}
		}

		return undefined;
	}

	/** Ends a call whose deadline has passed: with what its attempts resulted in if none is in progress. */
	#timeOut(): ExchangeOutcome {
		if (this.#lastFailure && this.#attempts.pending === 0) {
			return this.#ending.giveUp(this.#lastFailure, this.#runs);
		}

		this.#timedOut = true;
		return this.#ending.timeOut(this.#runs);
	}

	get #hasTimeLeft(): boolean {
		return this.#dependencies.clock() < this.#exchange.deadline;
	}

	/** Whether a prepared attempt may still be started: its preparation took time, in which the request may have turned out to crash endpoints. */
	get #mayStart(): boolean {
		return this.#tried.size === 0 || !this.#dependencies.suspects.isRefused(this.#exchange.identity);
	}

	/** Acquires the endpoint of a retry after an unsuccessful attempt, if allowed. */
	async #prepareRetryAfter({end, endpoint}: UnsuccessfulResult): Promise<EndpointEntry | undefined> {
		const {route, deadline, identity, handling} = this.#exchange;
		await this.#crashChecks.get(endpoint.id);
		if (handling === 'trial' || this.#dependencies.suspects.isRefused(identity)) {
			return undefined;
		}

		const allowed = mayRetry({
			kind: route.kind, resumable: false, end, runs: this.#runs, maximumRuns: route.maximumAttempts, remainingMilliseconds: deadline - this.#dependencies.clock(),
		});
		return allowed ? this.#prepareRetry(end) : undefined;
	}

	/** Acquires another endpoint, if there is one and the retry budget allows it. */
	async #prepareRetry(reason: string): Promise<EndpointEntry | undefined> {
		const allowed = this.#chooseEndpoint() !== undefined && await acquireRetry(this.#exchange, reason, this.#dependencies);
		return allowed ? this.#acquireEndpoint() : undefined;
	}

	async #acquireEndpoint(): Promise<EndpointEntry | undefined> {
		return acquireEndpoint(this.#exchange, lacking => this.#chooseEndpoint(lacking), this.#dependencies);
	}

	#chooseEndpoint(lacking: ReadonlySet<string> = new Set()): EndpointEntry | undefined {
		const {loads, health, availabilityZone, clock, random, subsets} = this.#dependencies;
		if (this.#attempts.hasEnded) {
			return undefined;
		}

		const now = clock();
		const tried = new Set([...this.#tried, ...lacking]);
		const usable = usableEndpoints(this.#requestClass, this.#dependencies);
		const endpoints = subsets.select({endpoints: usable, isSound: ({id}) => !tried.has(id) && health.isSound(id, now), now});
		return chooseEndpoint({
			endpoints, tried, loads, health, availabilityZone, now, random,
		});
	}

	get #requestClass(): RequestClass {
		return {service: this.#exchange.service.name, importance: this.#exchange.importance, versions: this.#exchange.versions};
	}

	#startAttempt(endpoint: EndpointEntry): void {
		this.#tried.add(endpoint.id);
		this.#exchange.versions?.recordSent(endpoint);
		this.#runs += 1;
		const sentAt = this.#dependencies.clock();
		this.#attempts.start(endpoint, async context => {
			const result = await sendCallAttempt(endpoint, this.#exchange, context, this.#dependencies);
			this.#recordResult(result, sentAt);
			return result;
		});
	}

	/** Records the endpoint's health from the result of an attempt. */
	#recordResult(result: CallAttemptResult, sentAt: number): void {
		const {endpoints, health, logger, clock} = this.#dependencies;
		const {endpoint} = result;
		recordCallVersion(this.#exchange, result, {milliseconds: clock() - sentAt, isOvertaken: this.#attempts.hasEnded && !this.#timedOut});
		if (this.#attempts.hasEnded) {
			const isLost = result.kind === 'unsuccessful' && result.end === 'lost' && !this.#exchange.callerDisconnected.aborted;
			if (isLost && sentAt < this.#answeredAttemptSentAt) {
				health.recordOvertaken(endpoint.id, {sentAt, now: clock()});
			}

			if (this.#timedOut) {
				if (isLost) {
					health.recordFailure(endpoint.id, 'broken', clock());
				}

				this.#dependencies.crashDetector.watchList(this.#lostAttempt(endpoint));
			}

			return;
		}

		if (result.kind === 'streaming') {
			this.#answeredAttemptSentAt = sentAt;
			return;
		}

		if (result.kind === 'answered') {
			this.#answeredAttemptSentAt = sentAt;
			health.recordSuccess(endpoint.id, clock());
			return;
		}

		if (result.end === 'not-run') {
			this.#runs -= 1;
		}

		if (result.failure) {
			health.recordFailure(endpoint.id, result.failure, clock());
		} else {
			endpoints.excludeIncarnation(endpoint.id, endpoint.startedAt);
		}

		logger.info('attempt failed', {
			request: this.#exchange.requestName, endpoint: endpoint.id, end: result.end, reason: result.message, runs: this.#runs,
		});
		if (result.end === 'lost') {
			this.#checkForCrash(endpoint);
		}
	}

	/** Starts to check whether an endpoint that lost the response has crashed. */
	#checkForCrash(endpoint: EndpointEntry): void {
		this.#crashChecks.set(endpoint.id, this.#dependencies.crashDetector.checkForCrash(this.#lostAttempt(endpoint)));
	}

	#lostAttempt(endpoint: EndpointEntry): LostAttempt {
		const {identity, requestName} = this.#exchange;
		return {
			identity, requestName, endpoint, events: 0,
		};
	}
}
