/**
 * Forwards a call to a plain service, which is one that does not stream generations.
 *
 * @module
 */
import {chooseEndpoint} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {
	streamResponse, sendErrorResponse, sendCompleteResponse, type ErrorResponse,
} from './caller-response.ts';
import {
	computeRetryAfter, isRejectedByLimit, usableEndpoints, type RequestClass,
} from './endpoint-signals.ts';
import {acquireEndpoint} from './acquire-endpoint.ts';
import {acquireRetry} from './acquire-retry.ts';
import {closingOutcomes, disconnectedOutcome} from './closing-reason.ts';
import {type CallAttemptResult} from './call-attempt-result.ts';
import {CallAttempts} from './call-attempts.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';
import {type LostAttempt} from './crash-detector.ts';
import {mayRetry} from './retry-decision.ts';
import {sendCallAttempt} from './send-call-attempt.ts';

/** Share of the target response time after which an idempotent call is hedged, that is, sent to a second endpoint as well. */
const hedgeShare = 0.5;

/** Minimum delay before a call is hedged, in milliseconds. */
const minimumHedgeDelayMilliseconds = 40;

/** Default `Retry-After` if no endpoint is available, in milliseconds. */
const defaultRetryAfterMilliseconds = 250;

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

class CallForwarder {
	readonly #exchange: Exchange;
	readonly #dependencies: ForwardingDependencies;
	readonly #tried = new Set<string>();
	readonly #attempts: CallAttempts;
	/** Checks for a crash of endpoints whose response was lost, by endpoint id. */
	readonly #crashChecks = new Map<string, Promise<void>>();
	/** Number of attempts in progress, or that ran or may have run. */
	#runs = 0;
	/** Whether the deadline passed before an endpoint responded. */
	#timedOut = false;

	constructor(exchange: Exchange, dependencies: ForwardingDependencies) {
		this.#exchange = exchange;
		this.#dependencies = dependencies;
		this.#attempts = new CallAttempts({responseBuffers: dependencies.responseBuffers, callerDisconnected: exchange.callerDisconnected, clock: dependencies.clock});
	}

	async run(): Promise<ExchangeOutcome> {
		try {
			return await this.#serve();
		} finally {
			this.#attempts.abortAll(this.#exchange.response);
		}
	}

	async #serve(): Promise<ExchangeOutcome> {
		const {response, route} = this.#exchange;
		const hedgeAt = this.#exchange.arrivedAt + Math.max(minimumHedgeDelayMilliseconds, route.targetMilliseconds * hedgeShare);
		let mayHedge = route.kind === 'idempotent' && route.maximumAttempts > 1 && this.#exchange.handling === 'none';
		const first = await this.#acquireEndpoint();
		if (this.#exchange.callerDisconnected.aborted) {
			return this.#disconnected();
		}

		if (!first) {
			return this.#rejectWithoutEndpoint();
		}

		this.#startAttempt(first);
		for (;;) {
			const result = await this.#attempts.next(mayHedge ? Math.min(hedgeAt, this.#exchange.deadline) : this.#exchange.deadline);
			if (this.#exchange.callerDisconnected.aborted) {
				return this.#disconnected();
			}

			if (result === undefined && mayHedge && this.#dependencies.clock() < this.#exchange.deadline) {
				mayHedge = false;
				if (this.#runs < route.maximumAttempts) {
					await this.#retry('hedge');
				}

				continue;
			}

			if (result === undefined) {
				this.#timedOut = true;
				return this.#sendError({status: 504, code: 'timeout', message: 'No endpoint answered in time.'});
			}

			if (result.kind === 'streaming') {
				return this.#stream(result);
			}

			if (result.kind === 'answered') {
				sendCompleteResponse(response, result.response.status, result.response.rawHeaders, result.response.body);
				return this.#outcome('answered', result.response.status);
			}

			const retried = await this.#retryAfterFailure(result);
			if (!retried && this.#attempts.pending === 0) {
				return this.#giveUp(result);
			}
		}
	}

	/** Streams a response that is too large to buffer and aborts the other attempts. */
	async #stream({endpoint, response: endpointResponse}: CallAttemptResult & {kind: 'streaming'}): Promise<ExchangeOutcome> {
		const {response, deadline, requestName} = this.#exchange;
		const {loads, health, logger, clock, callerConnections} = this.#dependencies;
		const signal = this.#attempts.abortOthers(endpoint, deadline);
		const endLoad = loads.trackRequest(endpoint.id, 0);
		const streamed = await streamResponse(response, endpointResponse, signal);
		endLoad();
		if (streamed.isOk()) {
			health.recordSuccess(endpoint.id, clock());
			return this.#outcome('answered', endpointResponse.status);
		}

		const reason = callerConnections.close(response, 'broken-off', streamed.error);
		if (reason !== 'broken-off') {
			return this.#outcome(closingOutcomes[reason], 0);
		}

		health.recordFailure(endpoint.id, 'broken', clock());
		logger.info('answer broken off', {
			request: requestName, endpoint: endpoint.id, status: endpointResponse.status, reason: streamed.error,
		});
		return this.#outcome('broken_off', endpointResponse.status);
	}

	/** Starts another attempt after an unsuccessful one, if allowed. */
	async #retryAfterFailure({end, endpoint}: CallAttemptResult & {kind: 'unsuccessful'}): Promise<boolean> {
		const {route, deadline, identity, handling} = this.#exchange;
		await this.#crashChecks.get(endpoint.id);
		if (handling === 'trial' || this.#dependencies.suspects.isRefused(identity)) {
			return false;
		}

		const allowed = mayRetry({
			kind: route.kind, resumable: false, end, runs: this.#runs, maximumRuns: route.maximumAttempts, remainingMilliseconds: deadline - this.#dependencies.clock(),
		});
		return allowed && this.#retry(end);
	}

	/** Sends the call to another endpoint, if there is one and the retry budget allows it. */
	async #retry(reason: string): Promise<boolean> {
		const allowed = this.#chooseEndpoint() !== undefined && await acquireRetry(this.#exchange, reason, this.#dependencies);
		const endpoint = allowed ? await this.#acquireEndpoint() : undefined;
		if (!endpoint || this.#exchange.callerDisconnected.aborted) {
			return false;
		}

		this.#startAttempt(endpoint);
		return true;
	}

	async #acquireEndpoint(): Promise<EndpointEntry | undefined> {
		return acquireEndpoint(this.#exchange, lacking => this.#chooseEndpoint(lacking), this.#dependencies);
	}

	#chooseEndpoint(lacking: ReadonlySet<string> = new Set()): EndpointEntry | undefined {
		const {loads, health, availabilityZone, clock, random} = this.#dependencies;
		return chooseEndpoint({
			endpoints: usableEndpoints(this.#requestClass, this.#dependencies), tried: new Set([...this.#tried, ...lacking]), loads, health, availabilityZone, now: clock(), random,
		});
	}

	get #requestClass(): RequestClass {
		return {service: this.#exchange.service.name, importance: this.#exchange.importance};
	}

	#startAttempt(endpoint: EndpointEntry): void {
		this.#tried.add(endpoint.id);
		this.#runs += 1;
		this.#attempts.start(endpoint, async context => {
			const result = await sendCallAttempt(endpoint, this.#exchange, context, this.#dependencies);
			this.#recordResult(result);
			return result;
		});
	}

	/** Records the endpoint's health from the result of an attempt. */
	#recordResult(result: CallAttemptResult): void {
		const {endpoints, health, logger, clock} = this.#dependencies;
		const {endpoint} = result;
		if (this.#attempts.hasEnded) {
			if (result.kind === 'unsuccessful' && result.end === 'lost' && !this.#exchange.callerDisconnected.aborted) {
				health.recordFailure(endpoint.id, 'broken', clock());
			}

			if (this.#timedOut) {
				this.#dependencies.crashDetector.watchList(this.#lostAttempt(endpoint));
			}

			return;
		}

		if (result.kind === 'streaming') {
			return;
		}

		if (result.kind === 'answered') {
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

	#giveUp({end, message, response: endpointResponse, retryAfterMilliseconds}: CallAttemptResult & {kind: 'unsuccessful'}): ExchangeOutcome {
		if (this.#exchange.callerDisconnected.aborted) {
			return this.#disconnected();
		}

		if (endpointResponse && end === 'failed') {
			sendCompleteResponse(this.#exchange.response, endpointResponse.status, endpointResponse.rawHeaders, endpointResponse.body);
			return this.#outcome('endpoint_failed', endpointResponse.status);
		}

		if (this.#runs === 0) {
			return this.#sendError({
				status: 503, code: 'not_run', message: `No endpoint took the request: ${message}`, retryAfterMilliseconds: this.#computeRetryAfter(retryAfterMilliseconds),
			});
		}

		return this.#sendError({status: 502, code: 'answer_lost', message: `The request may have run, and its answer is lost: ${message}`});
	}

	#computeRetryAfter(requestedMilliseconds = defaultRetryAfterMilliseconds): number {
		return computeRetryAfter(this.#requestClass, requestedMilliseconds, this.#dependencies);
	}

	#rejectWithoutEndpoint(): ExchangeOutcome {
		const retryAfterMilliseconds = this.#computeRetryAfter();
		if (!isRejectedByLimit(this.#requestClass, this.#dependencies)) {
			return this.#sendError({
				status: 503, code: 'no_endpoint', message: 'No endpoint of the service can be used now.', retryAfterMilliseconds,
			});
		}

		this.#dependencies.countLimited(this.#exchange.service.name, 'rejected');
		return this.#sendError({
			status: 503, code: 'endpoints_limited', message: 'The endpoints of the service take no more requests now.', retryAfterMilliseconds,
		});
	}

	#sendError(error: ErrorResponse): ExchangeOutcome {
		sendErrorResponse(this.#exchange.response, error);
		return this.#outcome(error.code, error.status);
	}

	/** Outcome of a call whose caller's connection has closed. */
	#disconnected(): ExchangeOutcome {
		return this.#outcome(disconnectedOutcome(this.#exchange.callerDisconnected), 0);
	}

	#outcome(outcome: string, status: number): ExchangeOutcome {
		return {outcome, status, endpoints: [...this.#tried]};
	}
}
