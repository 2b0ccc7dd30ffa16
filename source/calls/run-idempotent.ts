/**
 * Runs a call that may be repeated: on pooled connections, retried elsewhere and hedged, the first answer wins.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type ServiceAnswer, type ServiceFailure} from '../endpoints/mod.ts';
import {pause} from '../supervision/mod.ts';
import {
	chooseEndpoint, comeBackSeconds, noEndpointRefusal, type CallEnd, type CallParts, type ServiceCall,
} from './call.ts';

/** Percentile of recent latency after which a call is hedged. */
const hedgePercentile = 95;

/** Shortest and default time after which a call is hedged, in milliseconds. */
const shortestHedgeMilliseconds = 2;
const defaultHedgeMilliseconds = 1000;

/** Attempts of one call at most, hedges included. */
const mostAttempts = 4;

/** Longest pause before every endpoint is tried again, in milliseconds. */
const againMilliseconds = 100;

type Attempt = {endpoint: string; controller: AbortController};

type AttemptEnd = {kind: 'settled'; attempt: Attempt; result: Result<ServiceAnswer, ServiceFailure>};

type Event = AttemptEnd | {kind: 'hedge_due'} | {kind: 'deadline'} | {kind: 'caller_gone'};

/**
 * Runs an idempotent call until an answer, its deadline or the end of its retry budget.
 *
 * @param call The call.
 * @param parts The router's parts.
 * @returns The first answer, or a refusal.
 * @example
 * ```ts
 * const end = await runIdempotent(call, parts);
 * ```
 */
export async function runIdempotent(call: ServiceCall, parts: CallParts): Promise<CallEnd> {
	return new IdempotentRun(call, parts).run();
}

class IdempotentRun {
	readonly #call: ServiceCall;
	readonly #parts: CallParts;
	readonly #attempts = new Map<Attempt, Promise<AttemptEnd>>();
	readonly #tried = new Set<string>();
	#launched = 0;
	#hedgeAt = Number.POSITIVE_INFINITY;
	#mayHaveRun = false;

	constructor(call: ServiceCall, parts: CallParts) {
		this.#call = call;
		this.#parts = parts;
	}

	async run(): Promise<CallEnd> {
		this.#parts.retryBudgetOf(this.#call.service.service).recordFirstAttempt();
		if (!this.#launch()) {
			return this.#refuse();
		}

		for (;;) {
			const event = await this.#next();
			if (event.kind === 'settled' && event.result.isOk()) {
				this.#attempts.delete(event.attempt);
				this.#abortAll();
				return {kind: 'answered', answer: event.result.value};
			}

			if (event.kind === 'deadline' || event.kind === 'caller_gone') {
				this.#mayHaveRun = true;
				this.#abortAll();
				return this.#deadlineEnd();
			}

			if (event.kind === 'hedge_due') {
				this.#hedgeAt = Number.POSITIVE_INFINITY;
				this.#launchAgain();
				continue;
			}

			this.#attempts.delete(event.attempt);
			this.#mayHaveRun ||= event.result.isErr() && event.result.error.sent;
			if (!await this.#retry()) {
				return this.#refuse();
			}
		}
	}

	/** After a failure, starts another attempt; returns whether any is still in progress. */
	async #retry(): Promise<boolean> {
		if (!this.#launchAgain() && this.#attempts.size === 0 && this.#launched < mostAttempts) {
			this.#tried.clear();
			await pause(againMilliseconds * this.#parts.random(), this.#call.signal);
			this.#launchAgain();
		}

		return this.#attempts.size > 0;
	}

	/** Starts a further attempt if the budget allows it. */
	#launchAgain(): boolean {
		const {service} = this.#call.service;
		const untried = chooseEndpoint(this.#call, this.#parts, this.#tried);
		const mayLaunch = this.#launched < mostAttempts && (untried !== undefined || this.#attempts.size > 0);
		return mayLaunch && this.#parts.retryBudgetOf(service).take(this.#parts.clock()) && this.#launch(untried);
	}

	/** Starts an attempt on an endpoint, by default the best one; the pool opens a new connection while another is busy. */
	#launch(endpoint = chooseEndpoint(this.#call, this.#parts, new Set())): boolean {
		if (endpoint === undefined) {
			return false;
		}

		this.#launched += 1;
		this.#tried.add(endpoint);
		const attempt = {endpoint, controller: new AbortController()};
		this.#attempts.set(attempt, this.#send(attempt));
		this.#hedgeAt = this.#call.service.hedge ? this.#parts.clock() + this.#hedgeMilliseconds() : Number.POSITIVE_INFINITY;
		return true;
	}

	async #send(attempt: Attempt): Promise<AttemptEnd> {
		const {placement, clock, tracing, serviceClient, recentLatency} = this.#parts;
		const {request, service, span: parent} = this.#call;
		const {endpoint, controller} = attempt;
		const span = tracing.start('call', parent, {endpoint, attempt: this.#launched});
		const startedAt = clock();
		placement.recordStart(endpoint, 1);
		const signal = AbortSignal.any([controller.signal, AbortSignal.timeout(Math.max(1, Math.ceil(this.#call.deadline - startedAt)))]);
		const result = await serviceClient.send(endpoint, {...request, headers: {...request.headers, ...tracing.inject(span)}}, signal);
		placement.recordEnd(endpoint, 1);
		if (result.isOk()) {
			recentLatency.record(service.service, clock() - startedAt, clock());
			placement.recordSuccess(endpoint, clock());
		} else if (!controller.signal.aborted) {
			placement.recordFailure(endpoint, clock());
		}

		span.setAttribute('outcome', result.isOk() ? result.value.status : result.error.message);
		span.end();
		return {kind: 'settled', attempt, result};
	}

	/** Waits for an attempt's end, the time of the next hedge or the deadline. */
	async #next(): Promise<Event> {
		const wait = new AbortController();
		try {
			return await Promise.race([...this.#attempts.values(), this.#timer(AbortSignal.any([wait.signal, this.#call.signal]))]);
		} finally {
			wait.abort();
		}
	}

	async #timer(signal: AbortSignal): Promise<Event> {
		const {deadline} = this.#call;
		const passed = await pause(Math.max(0, Math.min(this.#hedgeAt, deadline) - this.#parts.clock()), signal);
		if (!passed) {
			return {kind: 'caller_gone'};
		}

		return this.#hedgeAt < deadline ? {kind: 'hedge_due'} : {kind: 'deadline'};
	}

	#hedgeMilliseconds(): number {
		const {recentLatency, clock} = this.#parts;
		const high = recentLatency.percentile(this.#call.service.service, hedgePercentile, clock());
		return high === undefined ? defaultHedgeMilliseconds : Math.max(shortestHedgeMilliseconds, high);
	}

	#abortAll(): void {
		for (const {controller} of this.#attempts.keys()) {
			controller.abort();
		}
	}

	#deadlineEnd(): CallEnd {
		return {
			kind: 'refused',
			refusal: {
				status: 504, code: 'deadline_exceeded', message: 'No endpoint answered in time.', run: 'unknown', retryAfterSeconds: comeBackSeconds,
			},
		};
	}

	#refuse(): CallEnd {
		const {service} = this.#call.service;
		if (!this.#mayHaveRun) {
			return {kind: 'refused', refusal: noEndpointRefusal(service, 'no')};
		}

		return {
			kind: 'refused',
			refusal: {
				status: 502, code: 'endpoint_failed', message: `The endpoints of "${service}" failed before an answer.`, run: 'unknown', retryAfterSeconds: comeBackSeconds,
			},
		};
	}
}
