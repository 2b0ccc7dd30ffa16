/**
 * Runs an idempotent call on pooled connections, with retries and hedging; the first answer is used.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type ServiceResponse, type ServiceFailure} from '../endpoints/mod.ts';
import {pause} from '../supervision/mod.ts';
import {
	acquireEndpoint, chooseEndpoint, defaultRetryAfterSeconds, notRunRefusal, recordLimit, type CallOutcome, type CallParts, type ServiceCall,
} from './call.ts';

/** Percentile of recent latency that is used as the hedge delay. */
const hedgePercentile = 95;

/** Minimum and default hedge delay, in milliseconds. */
const minimumHedgeDelayMilliseconds = 2;
const defaultHedgeDelayMilliseconds = 1000;

/** Maximum number of attempts of one call, including hedges. */
const maximumAttempts = 4;

/** Maximum delay before all endpoints are tried again, in milliseconds. */
const maximumRetryDelayMilliseconds = 100;

type Attempt = {endpoint: string; controller: AbortController};

type SettledAttempt = {kind: 'settled'; attempt: Attempt; result: Result<ServiceResponse, ServiceFailure>};

type RunEvent = SettledAttempt | {kind: 'hedge_due'} | {kind: 'deadline'} | {kind: 'caller_gone'};

/**
 * Runs an idempotent call until an answer arrives, its deadline passes or its retry budget is exhausted.
 *
 * @param call The call.
 * @param parts Components of the router.
 * @returns The first answer, or a refusal.
 * @example
 * ```ts
 * const outcome = await runIdempotent(call, parts);
 * ```
 */
export async function runIdempotent(call: ServiceCall, parts: CallParts): Promise<CallOutcome> {
	return new IdempotentRun(call, parts).run();
}

class IdempotentRun {
	readonly #call: ServiceCall;
	readonly #parts: CallParts;
	readonly #attempts = new Map<Attempt, Promise<SettledAttempt>>();
	readonly #tried = new Set<string>();
	#attemptsStarted = 0;
	#hedgeAt = Number.POSITIVE_INFINITY;
	#mayHaveRun = false;

	constructor(call: ServiceCall, parts: CallParts) {
		this.#call = call;
		this.#parts = parts;
	}

	async run(): Promise<CallOutcome> {
		this.#parts.retryBudgetOf(this.#call.service.service).recordFirstAttempt();
		if (!await this.#startAttempt()) {
			return this.#failureOutcome();
		}

		for (;;) {
			const event = await this.#nextEvent();
			if (event.kind === 'settled' && event.result.isOk()) {
				this.#attempts.delete(event.attempt);
				this.#abortAll();
				return {kind: 'answered', answer: event.result.value};
			}

			if (event.kind === 'deadline' || event.kind === 'caller_gone') {
				this.#mayHaveRun = true;
				this.#abortAll();
				return this.#deadlineOutcome();
			}

			if (event.kind === 'hedge_due') {
				this.#hedgeAt = Number.POSITIVE_INFINITY;
				await this.#startFurtherAttempt();
				continue;
			}

			this.#attempts.delete(event.attempt);
			this.#mayHaveRun ||= event.result.isErr() && event.result.error.sent;
			if (!await this.#retryAfterFailure()) {
				return this.#failureOutcome();
			}
		}
	}

	/** Starts another attempt after a failure; returns whether any attempt is in progress. */
	async #retryAfterFailure(): Promise<boolean> {
		if (!await this.#startFurtherAttempt() && this.#attempts.size === 0 && this.#attemptsStarted < maximumAttempts) {
			this.#tried.clear();
			await pause(maximumRetryDelayMilliseconds * this.#parts.random(), this.#call.signal);
			await this.#startFurtherAttempt();
		}

		return this.#attempts.size > 0;
	}

	/** Starts a further attempt if the retry budget allows it. */
	async #startFurtherAttempt(): Promise<boolean> {
		const {service} = this.#call.service;
		const untried = chooseEndpoint(this.#call, this.#parts, this.#tried);
		const mayStart = this.#attemptsStarted < maximumAttempts && (untried !== undefined || this.#attempts.size > 0);
		return mayStart && this.#parts.retryBudgetOf(service).take(this.#parts.clock()) && this.#startAttempt(untried === undefined ? new Set() : this.#tried);
	}

	/** Starts an attempt on the best endpoint that is not excluded. The pool opens a new connection if the others are busy. */
	async #startAttempt(exclude: ReadonlySet<string> = new Set()): Promise<boolean> {
		const endpoint = await acquireEndpoint(this.#call, this.#parts, exclude);
		if (endpoint === undefined) {
			return false;
		}

		this.#attemptsStarted += 1;
		this.#tried.add(endpoint);
		const attempt = {endpoint, controller: new AbortController()};
		this.#attempts.set(attempt, this.#send(attempt));
		this.#hedgeAt = this.#call.service.hedge ? this.#parts.clock() + this.#hedgeDelayMilliseconds() : Number.POSITIVE_INFINITY;
		return true;
	}

	async #send(attempt: Attempt): Promise<SettledAttempt> {
		const {placement, clock, tracing, serviceClient, recentLatency} = this.#parts;
		const {request, service, span: parent} = this.#call;
		const {endpoint, controller} = attempt;
		const span = tracing.start('call', parent, {endpoint, attempt: this.#attemptsStarted});
		const startedAt = clock();
		placement.recordStart(endpoint, 1);
		const signal = AbortSignal.any([controller.signal, AbortSignal.timeout(Math.max(1, Math.ceil(this.#call.deadline - startedAt)))]);
		const result = await serviceClient.send(endpoint, {...request, headers: {...request.headers, ...tracing.inject(span)}}, signal);
		placement.recordEnd(endpoint, 1);
		if (result.isOk()) {
			recentLatency.record(service.service, clock() - startedAt, clock());
			placement.recordSuccess(endpoint, clock());
			recordLimit(endpoint, result.value, startedAt, this.#parts);
		} else if (!controller.signal.aborted) {
			placement.recordFailure(endpoint, clock());
		}

		span.setAttribute('outcome', result.isOk() ? result.value.status : result.error.message);
		span.end();
		return {kind: 'settled', attempt, result};
	}

	/** Waits for the end of an attempt, the time of the next hedge, the deadline or the disconnection of the caller. */
	async #nextEvent(): Promise<RunEvent> {
		const wait = new AbortController();
		try {
			return await Promise.race([...this.#attempts.values(), this.#timer(AbortSignal.any([wait.signal, this.#call.signal]))]);
		} finally {
			wait.abort();
		}
	}

	async #timer(signal: AbortSignal): Promise<RunEvent> {
		const {deadline} = this.#call;
		const passed = await pause(Math.max(0, Math.min(this.#hedgeAt, deadline) - this.#parts.clock()), signal);
		if (!passed) {
			return {kind: 'caller_gone'};
		}

		return this.#hedgeAt < deadline ? {kind: 'hedge_due'} : {kind: 'deadline'};
	}

	#hedgeDelayMilliseconds(): number {
		const {recentLatency, clock} = this.#parts;
		const high = recentLatency.percentile(this.#call.service.service, hedgePercentile, clock());
		return high === undefined ? defaultHedgeDelayMilliseconds : Math.max(minimumHedgeDelayMilliseconds, high);
	}

	#abortAll(): void {
		for (const {controller} of this.#attempts.keys()) {
			controller.abort();
		}
	}

	#deadlineOutcome(): CallOutcome {
		return {
			kind: 'refused',
			refusal: {
				status: 504, code: 'deadline_exceeded', message: 'No endpoint answered in time.', run: 'unknown', retryAfterSeconds: defaultRetryAfterSeconds,
			},
		};
	}

	#failureOutcome(): CallOutcome {
		const {service} = this.#call.service;
		if (!this.#mayHaveRun) {
			return {kind: 'refused', refusal: notRunRefusal(this.#call, this.#parts)};
		}

		return {
			kind: 'refused',
			refusal: {
				status: 502, code: 'endpoint_failed', message: `The endpoints of "${service}" failed before an answer.`, run: 'unknown', retryAfterSeconds: defaultRetryAfterSeconds,
			},
		};
	}
}
