/**
 * Serves one generation to its end, over as many attempts as needed.
 *
 * @module
 */
import {type Span} from '@opentelemetry/api';
import {limitedRefusal, type Refusal} from '../answers/mod.ts';
import {retryDelay, type MonitoredRequest} from '../admission/mod.ts';
import {endpointIncarnation, limitedReturnDelay, placePermitted} from '../placement/mod.ts';
import {pause} from '../supervision/mod.ts';
import {type GenerationParts} from './generation-parts.ts';
import {
	type DeliveredToken, type GenerationOutcome, type Progress, type TokenSink,
} from './progress.ts';
import {type AttemptResult} from './read-attempt.ts';
import {withSilenceBackoff, recoveryPolicy} from './recovery-policy.ts';
import {runAttempt, type AttemptStep} from './run-attempt.ts';

/** Options of {@linkcode runGeneration}. */
export type RunGenerationOptions = {
	progress: Progress;
	sink: TokenSink;
	parts: GenerationParts;
	/** Span of the caller's request. */
	span: Span;
	/** Aborts when the caller has disconnected. */
	signal: AbortSignal;
};

/** Mean delay before the next attempt to choose an endpoint when none was available, in milliseconds. */
const noEndpointDelayMilliseconds = 200;

/** Time for which a generation that no endpoint has run yet waits for one, in milliseconds. */
const firstEndpointTimeoutMilliseconds = 10_000;

/** Seconds after which a caller may retry. */
const defaultRetryAfterSeconds = 5;

/** Step that follows each attempt result. After a lost or silent connection the engine itself may still run, so its stream is resumed first. */
const stepAfterResult: Record<Exclude<AttemptResult['kind'], 'finished' | 'superseded' | 'aborted' | 'caller_gone'>, AttemptStep> = {
	silent: 'resume',
	lost: 'resume',
	unreachable: 'start',
	broken: 'start',
	stalled: 'start',
	refused: 'start',
};

/**
 * Serves a generation until its answer is complete, its caller has disconnected or no endpoint can continue it.
 *
 * @param options Progress, sink and components of the router.
 * @returns How the generation ended.
 * @example
 * ```ts
 * const outcome = await runGeneration({progress, sink, parts, span, signal});
 * ```
 */
export async function runGeneration(options: RunGenerationOptions): Promise<GenerationOutcome> {
	const {progress, parts} = options;
	const monitored = parts.suspects.monitor(progress.requestDigest, progress.service.service);
	parts.retries.recordFirstAttempt();
	try {
		return await runAttempts(options, monitored);
	} finally {
		monitored.close();
	}
}

async function runAttempts(options: RunGenerationOptions, monitored: MonitoredRequest): Promise<GenerationOutcome> {
	const {progress, parts, signal} = options;
	const policy = recoveryPolicy(progress.service);
	const excluded = new Set<string>();
	const sink = new MeasuringSink(options, monitored);
	let restarts = 0;
	let silences = 0;
	const firstEndpointDeadline = parts.wallClock() + firstEndpointTimeoutMilliseconds;
	let step: AttemptStep = progress.endpoint === undefined ? 'start' : 'resume';
	while (!signal.aborted) {
		const awaitsFirstEndpoint = step === 'start' && progress.endpoint === undefined;
		if (parts.wallClock() >= (awaitsFirstEndpoint ? Math.min(progress.deadline, firstEndpointDeadline) : progress.deadline)) {
			return {kind: 'incomplete', refusal: timeoutRefusal(progress)};
		}

		const refusal = await monitored.waitForDecision();
		if (refusal) {
			return {kind: 'incomplete', refusal};
		}

		const endpoint = step === 'resume' ? await acquireForResumption(options) : await acquireEndpoint(options, monitored.exclusions(excluded));
		const returnDelay = endpoint === undefined && awaitsFirstEndpoint ? limitedReturnDelay(progress.service.service, progress.service.priority, parts) : undefined;
		if (returnDelay !== undefined) {
			return {kind: 'incomplete', refusal: limitedRefusal(progress.service.service, returnDelay)};
		}

		if (endpoint === undefined) {
			excluded.clear();
			step = step === 'resume' && isLimited(options) ? 'resume' : 'start';
			await pause(noEndpointDelayMilliseconds * (0.5 + parts.random()), signal);
			continue;
		}

		if (step === 'start' && !(await monitored.claim(endpoint))) {
			continue;
		}

		cancelAtPreviousEndpoint(options, endpoint);
		monitored.recordAttemptStart(endpoint, step);
		sink.recordAttemptStart(endpoint, step);
		const indexBefore = progress.nextIndex;
		const result = await runAttempt({
			...options, sink, endpoint, step, policy: withSilenceBackoff(policy, silences), lastTokenAt: sink.lastTokenAt,
		});
		silences = result.kind === 'silent' && progress.nextIndex === indexBefore ? silences + 1 : 0;
		parts.metrics.attempts.inc({service: progress.service.service, end: result.kind});
		await monitored.recordAttemptEnd(endpoint, {...result, step});
		if (result.kind === 'finished') {
			return {kind: 'complete', totalTokens: result.totalTokens, finishReason: result.finishReason};
		}

		if (result.kind === 'superseded') {
			return result;
		}

		if (result.kind === 'aborted' || result.kind === 'caller_gone') {
			break;
		}

		sink.recordLoss();
		step = stepAfterResult[result.kind];
		if (step === 'start') {
			excluded.add(endpoint);
			restarts += 1;
			if (!parts.retries.take(parts.clock())) {
				await pause(retryDelay(restarts, parts.random()), signal);
			}
		}
	}

	return {kind: 'caller_gone'};
}

/** Forwards tokens, and measures the time to the first token and the interruption that each lost attempt causes for the caller. */
class MeasuringSink implements TokenSink {
	/** Monotonic time of the last token, or of the start of the generation before the first one, in milliseconds. */
	lastTokenAt: number;
	readonly #options: RunGenerationOptions;
	readonly #monitored: MonitoredRequest;
	/** Monotonic time of the last token before a lost attempt, until the next token is forwarded. */
	#interruptedSince: number | undefined;
	/** Start of the newest stream, until its time to the first token is measured. */
	#unmeasuredStart: {endpoint: string; at: number} | undefined;

	constructor(options: RunGenerationOptions, monitored: MonitoredRequest) {
		this.#options = options;
		this.#monitored = monitored;
		this.lastTokenAt = options.parts.clock();
	}

	/** Records that an attempt failed; the interruption counts from the last token. */
	recordLoss(): void {
		this.#interruptedSince ??= this.lastTokenAt;
	}

	/** Records the start of an attempt, from which the time to the first token of a new stream is measured. */
	recordAttemptStart(endpoint: string, step: AttemptStep): void {
		if (step === 'start') {
			this.#unmeasuredStart = {endpoint, at: this.#options.parts.clock()};
		}
	}

	token(token: DeliveredToken): boolean | Promise<boolean> {
		const {parts, progress, sink} = this.#options;
		this.lastTokenAt = parts.clock();
		this.#monitored.recordToken(token.endpoint);
		if (this.#unmeasuredStart?.endpoint === token.endpoint) {
			parts.placement.recordFirstToken(token.endpoint, this.lastTokenAt - this.#unmeasuredStart.at, this.lastTokenAt);
			this.#unmeasuredStart = undefined;
		}

		if (this.#interruptedSince !== undefined) {
			parts.metrics.resumeLatency.observe({service: progress.service.service}, (this.lastTokenAt - this.#interruptedSince) / 1000);
			this.#interruptedSince = undefined;
		}

		return sink.token(token);
	}
}

/** Cancels the generation at its previous endpoint. An endpoint that does not receive this discards the generation by itself. */
function cancelAtPreviousEndpoint({progress, parts}: RunGenerationOptions, endpoint: string): void {
	if (progress.endpoint !== undefined && progress.endpoint !== endpoint) {
		void parts.engines.cancel(progress.endpoint, progress.generation, progress.attempt);
	}
}

/** Acquires a permit for the endpoint whose stream is resumed, if it has a limit; returns the endpoint, or undefined without a permit. */
async function acquireForResumption({progress: {endpoint, service, generation}, parts: {limiter}}: RunGenerationOptions): Promise<string | undefined> {
	const isPermitted = endpoint !== undefined && await limiter.acquire(endpointIncarnation(endpoint), {importance: service.priority, requestName: generation});
	return isPermitted ? endpoint : undefined;
}

/** Whether the generation's endpoint is known to lack a permit. */
function isLimited({progress: {endpoint, service}, parts: {limiter, clock}}: RunGenerationOptions): boolean {
	return endpoint !== undefined && limiter.refused(service.priority, clock()).includes(endpoint);
}

/** Chooses an endpoint for a new attempt, and acquires a permit for it if it has a limit. */
async function acquireEndpoint(options: RunGenerationOptions, exclusionSets: Array<ReadonlySet<string>>): Promise<string | undefined> {
	const {progress, parts} = options;
	return placePermitted({
		...parts,
		exclude: new Set(),
		choose: lacking => chooseEndpoint(options, exclusionSets.map(exclude => lacking.size === 0 ? exclude : new Set([...exclude, ...lacking]))),
		request: {importance: progress.service.priority, requestName: progress.generation},
	});
}

/** Chooses an endpoint with the first exclusion set that leaves one available. */
function chooseEndpoint({progress, parts}: RunGenerationOptions, exclusionSets: Array<ReadonlySet<string>>): string | undefined {
	for (const exclude of exclusionSets) {
		const endpoint = parts.placement.choose({
			service: progress.service.service,
			prompt: progress.prompt,
			version: progress.model.version,
			tokens: progress.maxTokens - progress.nextIndex,
			exclude,
			now: parts.clock(),
			random: parts.random(),
		});
		if (endpoint !== undefined) {
			return endpoint;
		}
	}

	return undefined;
}

function timeoutRefusal(progress: Progress): Refusal {
	const started = progress.nextIndex > 0;
	return {
		status: 503,
		code: started ? 'generation_incomplete' : 'no_endpoint',
		message: started
			? `The answer is incomplete: no endpoint with version ${progress.model.version} could continue it in time; come back with the cursor.`
			: 'No endpoint could start the generation in time.',
		run: started ? 'yes' : (progress.endpoint === undefined ? 'no' : 'unknown'),
		retryAfterSeconds: defaultRetryAfterSeconds,
	};
}
