/**
 * The final answers of a call.
 *
 * @module
 */
import {sendCompleteResponse, sendErrorResponse, type ErrorResponse} from './caller-response.ts';
import {type CallAttemptResult} from './call-attempt-result.ts';
import {disconnectedOutcome} from './closing-reason.ts';
import {computeRetryAfter, isRejectedByLimit, type RequestClass} from './endpoint-signals.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** Result of an attempt without a response for the caller. */
export type UnsuccessfulResult = CallAttemptResult & {kind: 'unsuccessful'};

/** Options of {@linkcode CallEnding}. */
export type CallEndingOptions = {
	exchange: Exchange;
	dependencies: ForwardingDependencies;
	/** Ids of the endpoints that the call was sent to, in order. */
	tried: ReadonlySet<string>;
};

/** Default `Retry-After` if no endpoint is available, in milliseconds. */
const defaultRetryAfterMilliseconds = 250;

/**
 * Sends the final answer of a call that no endpoint answered. Only a call that no endpoint runs or has run is refused with 503.
 *
 * @example
 * ```ts
 * return ending.giveUp(result, runs);
 * ```
 */
export class CallEnding {
	readonly #options: CallEndingOptions;

	constructor(options: CallEndingOptions) {
		this.#options = options;
	}

	/** Ends a call that no endpoint can be sent. */
	rejectWithoutEndpoint(): ExchangeOutcome {
		const {exchange, dependencies} = this.#options;
		const retryAfterMilliseconds = this.#computeRetryAfter();
		if (!isRejectedByLimit(this.#requestClass, dependencies)) {
			return this.#sendError({
				status: 503, code: 'no_endpoint', message: 'No endpoint of the service can be used now.', retryAfterMilliseconds,
			});
		}

		dependencies.countLimited(exchange.service.name, 'rejected');
		return this.#sendError({
			status: 503, code: 'endpoints_limited', message: 'The endpoints of the service take no more requests now.', retryAfterMilliseconds,
		});
	}

	/**
	 * Ends a call after its last attempt.
	 *
	 * @param result Result of that attempt.
	 * @param runs Number of attempts that ran or may have run.
	 */
	giveUp({end, message, response, retryAfterMilliseconds}: UnsuccessfulResult, runs: number): ExchangeOutcome {
		if (response && end === 'failed') {
			sendCompleteResponse(this.#options.exchange.response, response.status, response.rawHeaders, response.body);
			return this.outcome('endpoint_failed', response.status);
		}

		return runs === 0
			? this.#sendError({
				status: 503, code: 'not_run', message: `No endpoint took the request: ${message}`, retryAfterMilliseconds: this.#computeRetryAfter(retryAfterMilliseconds),
			})
			: this.#sendError({status: 502, code: 'answer_lost', message: `The request may have run, and its answer is lost: ${message}`});
	}

	/**
	 * Ends a call whose deadline has passed.
	 *
	 * @param runs Number of attempts that are in progress, ran or may have run.
	 */
	timeOut(runs: number): ExchangeOutcome {
		return runs === 0
			? this.#sendError({
				status: 503, code: 'not_run', message: 'No endpoint could be sent the request in time.', retryAfterMilliseconds: this.#computeRetryAfter(),
			})
			: this.#sendError({status: 504, code: 'timeout', message: 'No endpoint answered in time.'});
	}

	/** Returns the outcome of a call whose caller's connection has closed. */
	disconnected(): ExchangeOutcome {
		return this.outcome(disconnectedOutcome(this.#options.exchange.callerDisconnected), 0);
	}

	/** Returns the outcome of the call for logs and metrics. */
	outcome(outcome: string, status: number): ExchangeOutcome {
		return {outcome, status, endpoints: [...this.#options.tried]};
	}

	get #requestClass(): RequestClass {
		const {service: {name: service}, importance, versions} = this.#options.exchange;
		return {service, importance, versions};
	}

	#computeRetryAfter(requestedMilliseconds = defaultRetryAfterMilliseconds): number {
		return computeRetryAfter(this.#requestClass, requestedMilliseconds, this.#options.dependencies);
	}

	#sendError(error: ErrorResponse): ExchangeOutcome {
		sendErrorResponse(this.#options.exchange.response, error);
		return this.outcome(error.code, error.status);
	}
}
