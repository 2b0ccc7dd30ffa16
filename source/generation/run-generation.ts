/**
 * Serves one generation to its end, over as many attempts as it takes.
 *
 * @module
 */
import {type Span} from '@opentelemetry/api';
import {type Refusal} from '../answers/mod.ts';
import {retryDelay, type MonitoredRequest} from '../admission/mod.ts';
import {pause} from '../supervision/mod.ts';
import {type GenerationParts} from './generation-parts.ts';
import {
	type DeliveredToken, type GenerationEnd, type Progress, type TokenSink,
} from './progress.ts';
import {type AttemptEnd} from './read-attempt.ts';
import {patientPolicy, recoveryPolicy} from './recovery-policy.ts';
import {runAttempt, type AttemptStep} from './run-attempt.ts';

/** Options of {@linkcode runGeneration}. */
export type RunGenerationOptions = {
	progress: Progress;
	sink: TokenSink;
	parts: GenerationParts;
	/** Span of the caller's request. */
	span: Span;
	/** Aborts when the caller is gone. */
	signal: AbortSignal;
};

/** Pause before the endpoints are asked again when none could take the generation, in milliseconds. */
const noEndpointMilliseconds = 200;

/** Time for which a generation without a first token waits for an endpoint, in milliseconds. */
const firstEndpointMilliseconds = 10_000;

/** Seconds after which a caller may come back. */
const comeBackSeconds = 5;

/** The step that follows an attempt: a lost or silent connection says nothing yet about the engine behind it. */
const stepAfterEnd: Record<Exclude<AttemptEnd['kind'], 'finished' | 'superseded' | 'aborted' | 'caller_gone'>, AttemptStep> = {
	silent: 'resume',
	lost: 'resume',
	unreachable: 'start',
	broken: 'start',
	stalled: 'start',
	refused: 'start',
};

/**
 * Serves a generation until its answer is whole, its caller is gone or no endpoint can continue it.
 *
 * @param options Progress, sink and the router's parts.
 * @returns How it ended.
 * @example
 * ```ts
 * const end = await runGeneration({progress, sink, parts, span, signal});
 * ```
 */
export async function runGeneration(options: RunGenerationOptions): Promise<GenerationEnd> {
	const {progress, parts} = options;
	const trial = parts.suspects.monitor(progress.requestDigest, progress.service.service);
	parts.retries.recordFirstAttempt();
	try {
		return await runAttempts(options, trial);
	} finally {
		trial.close();
	}
}

async function runAttempts(options: RunGenerationOptions, trial: MonitoredRequest): Promise<GenerationEnd> {
	const {progress, parts, signal} = options;
	const policy = recoveryPolicy(progress.service);
	const excluded = new Set<string>();
	const sink = new TimedSink(options, trial);
	let restarts = 0;
	let silences = 0;
	const firstEndpointUntil = parts.wallClock() + firstEndpointMilliseconds;
	let step: AttemptStep = progress.endpoint === undefined ? 'start' : 'resume';
	while (!signal.aborted) {
		const waitsForFirst = step === 'start' && progress.endpoint === undefined;
		if (parts.wallClock() >= (waitsForFirst ? Math.min(progress.deadline, firstEndpointUntil) : progress.deadline)) {
			return {kind: 'incomplete', refusal: giveUpRefusal(progress)};
		}

		const refusal = await trial.waitForDecision();
		if (refusal) {
			return {kind: 'incomplete', refusal};
		}

		const endpoint = step === 'resume' ? progress.endpoint : chooseEndpoint(options, trial.exclusions(excluded));
		if (endpoint === undefined) {
			excluded.clear();
			step = 'start';
			await pause(noEndpointMilliseconds * (0.5 + parts.random()), signal);
			continue;
		}

		if (step === 'start' && !(await trial.claim(endpoint))) {
			continue;
		}

		cancelAtPrevious(options, endpoint);
		trial.recordAttemptStart(endpoint, step);
		sink.attempting(endpoint, step);
		const indexBefore = progress.nextIndex;
		const end = await runAttempt({
			...options, sink, endpoint, step, policy: patientPolicy(policy, silences), lastTokenAt: sink.lastTokenAt,
		});
		silences = end.kind === 'silent' && progress.nextIndex === indexBefore ? silences + 1 : 0;
		parts.metrics.attempts.inc({service: progress.service.service, end: end.kind});
		await trial.recordAttemptEnd(endpoint, {...end, step});
		if (end.kind === 'finished') {
			return {kind: 'complete', totalTokens: end.totalTokens, finishReason: end.finishReason};
		}

		if (end.kind === 'superseded') {
			return end;
		}

		if (end.kind === 'aborted' || end.kind === 'caller_gone') {
			break;
		}

		sink.lost();
		step = stepAfterEnd[end.kind];
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

/** Passes tokens on and measures how long each loss keeps the caller waiting. */
class TimedSink implements TokenSink {
	/** Monotonic time of the last token, in milliseconds; the start of the call before the first one. */
	lastTokenAt: number;
	readonly #options: RunGenerationOptions;
	readonly #trial: MonitoredRequest;
	#lossAt: number | undefined;
	#started: {endpoint: string; at: number} | undefined;

	constructor(options: RunGenerationOptions, trial: MonitoredRequest) {
		this.#options = options;
		this.#trial = trial;
		this.lastTokenAt = options.parts.clock();
	}

	/** Records that an attempt was lost after the last token. */
	lost(): void {
		this.#lossAt ??= this.lastTokenAt;
	}

	/** Records that an attempt goes to an endpoint, whose time to first token counts from its start. */
	attempting(endpoint: string, step: AttemptStep): void {
		if (step === 'start') {
			this.#started = {endpoint, at: this.#options.parts.clock()};
		}
	}

	token(token: DeliveredToken): boolean | Promise<boolean> {
		const {parts, progress, sink} = this.#options;
		this.lastTokenAt = parts.clock();
		this.#trial.recordToken(token.endpoint);
		if (this.#started?.endpoint === token.endpoint) {
			parts.placement.recordFirstToken(token.endpoint, this.lastTokenAt - this.#started.at, this.lastTokenAt);
			this.#started = undefined;
		}

		if (this.#lossAt !== undefined) {
			parts.metrics.resumeLatency.observe({service: progress.service.service}, (this.lastTokenAt - this.#lossAt) / 1000);
			this.#lossAt = undefined;
		}

		return sink.token(token);
	}
}

/** Cancels the generation at the endpoint that it leaves; an endpoint that cannot hear it forgets the generation by itself. */
function cancelAtPrevious({progress, parts}: RunGenerationOptions, endpoint: string): void {
	if (progress.endpoint !== undefined && progress.endpoint !== endpoint) {
		void parts.engines.cancel(progress.endpoint, progress.generation, progress.attempt);
	}
}

/** Chooses an endpoint outside the first set of those to avoid that leaves one. */
function chooseEndpoint({progress, parts}: RunGenerationOptions, avoidance: Array<ReadonlySet<string>>): string | undefined {
	for (const exclude of avoidance) {
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

function giveUpRefusal(progress: Progress): Refusal {
	const started = progress.nextIndex > 0;
	return {
		status: 503,
		code: started ? 'generation_incomplete' : 'no_endpoint',
		message: started
			? `The answer is incomplete: no endpoint with version ${progress.model.version} could continue it in time; come back with the cursor.`
			: 'No endpoint could start the generation in time.',
		run: started ? 'yes' : (progress.endpoint === undefined ? 'no' : 'unknown'),
		retryAfterSeconds: comeBackSeconds,
	};
}
