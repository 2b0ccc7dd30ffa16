/**
 * The final answers of a generation that no engine finished.
 *
 * @module
 */
import {sendCompleteResponse, sendErrorResponse, type ErrorResponse} from './caller-response.ts';
import {closingOutcomes, disconnectedOutcome} from './closing-reason.ts';
import {computeRetryAfter, isRejectedByLimit, type RequestClass} from './endpoint-signals.ts';
import {crashesEndpoints, type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';
import {type GenerationEnd} from './generation-attempt.ts';
import {describeProgress, type GenerationProgress} from './generation-progress.ts';

/** Why a generation is given up: what happened last, and the retry delay that the engine asked for. */
export type GenerationFailure = {message: string; retryAfterMilliseconds?: number};

/** Options of {@linkcode GenerationEnding}. */
export type GenerationEndingOptions = {
	exchange: Exchange;
	dependencies: ForwardingDependencies;
	/** Ids of the engines of all attempts, in order. */
	attempted: readonly string[];
	progress: GenerationProgress;
};

/** Default `Retry-After` if no engine is available, in milliseconds. */
const defaultRetryAfterMilliseconds = 500;

/**
 * Sends the final answer of a generation. Only one that no engine runs or has run is refused with 503.
 *
 * @example
 * ```ts
 * return ending.giveUp({message: 'no engine of the service is known'}, runs);
 * ```
 */
export class GenerationEnding {
	readonly #options: GenerationEndingOptions;

	constructor(options: GenerationEndingOptions) {
		this.#options = options;
	}

	/**
	 * Ends a generation that is not sent to an engine again.
	 *
	 * @param failure Why.
	 * @param runs Number of attempts that ran or may have run.
	 */
	giveUp({message, retryAfterMilliseconds = defaultRetryAfterMilliseconds}: GenerationFailure, runs: number): ExchangeOutcome {
		const {exchange: {response, deadline, callerDisconnected}, dependencies} = this.#options;
		if (callerDisconnected.aborted) {
			return this.outcome(disconnectedOutcome(callerDisconnected), 0);
		}

		if (response.headersSent) {
			// The closed connection shows the caller that the response is incomplete.
			const reason = dependencies.callerConnections.close(response, 'broken-off', message);
			return this.outcome(closingOutcomes[reason], reason === 'broken-off' ? 200 : 0);
		}

		if (runs === 0) {
			return this.#sendError({
				status: 503, ...this.#describeRejection(message), retryAfterMilliseconds: computeRetryAfter(this.#requestClass, retryAfterMilliseconds, dependencies),
			});
		}

		return dependencies.clock() >= deadline
			? this.#sendError({status: 504, code: 'timeout', message: 'No engine answered in time.'})
			: this.#sendError({status: 502, code: 'answer_lost', message: `The request may have run, and its answer is lost: ${message}`});
	}

	/**
	 * Ends a generation that is refused since requests like it crash engines.
	 *
	 * @param retryAfterMilliseconds Time after which it may return.
	 * @param runs Number of attempts that ran or may have run.
	 */
	refuse(retryAfterMilliseconds: number, runs: number): ExchangeOutcome {
		return runs === 0
			? this.#sendError({...crashesEndpoints, retryAfterMilliseconds})
			: this.giveUp({message: 'requests like it crash engines'}, runs);
	}

	/** Ends a generation with an engine's error; if the caller has left or received events, it is given up. */
	forwardFailure({status, rawHeaders, body}: GenerationEnd & {kind: 'failed'}, failure: GenerationFailure, runs: number): ExchangeOutcome {
		const {response, callerDisconnected} = this.#options.exchange;
		if (response.headersSent || callerDisconnected.aborted) {
			return this.giveUp(failure, runs);
		}

		sendCompleteResponse(response, status, rawHeaders, body);
		return this.outcome('endpoint_failed', status);
	}

	/** Returns the outcome of the generation for logs and metrics. */
	outcome(outcome: string, status: number): ExchangeOutcome {
		const {attempted, progress} = this.#options;
		return {
			outcome, status, endpoints: attempted, generation: describeProgress(progress),
		};
	}

	#describeRejection(message: string): Pick<ErrorResponse, 'code' | 'message'> {
		const {exchange, dependencies} = this.#options;
		if (!isRejectedByLimit(this.#requestClass, dependencies)) {
			return {code: 'not_run', message: `No engine took the request: ${message}`};
		}

		dependencies.countLimited(exchange.service.name, 'rejected');
		return {code: 'endpoints_limited', message: 'The engines of the service take no more requests now.'};
	}

	get #requestClass(): RequestClass {
		const {service: {name: service}, importance, versions} = this.#options.exchange;
		return {service, importance, versions};
	}

	#sendError(error: ErrorResponse): ExchangeOutcome {
		sendErrorResponse(this.#options.exchange.response, error);
		return this.outcome(error.code, error.status);
	}
}
