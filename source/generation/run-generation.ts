/**
 * Serves one generation to its end, over as many attempts as it takes.
 *
 * @module
 */
import {type Span} from '@opentelemetry/api';
import {type Refusal} from '../answers/mod.ts';
import {pause} from '../supervision/mod.ts';
import {type GenerationParts} from './generation-parts.ts';
import {
	type DeliveredToken, type GenerationEnd, type Progress, type TokenSink,
} from './progress.ts';
import {type AttemptEnd} from './read-attempt.ts';
import {recoveryPolicy} from './recovery-policy.ts';
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
	const {progress, parts, signal} = options;
	const policy = recoveryPolicy(progress.service);
	const excluded = new Set<string>();
	const sink = new TimedSink(options);
	const firstEndpointUntil = parts.wallClock() + firstEndpointMilliseconds;
	let step: AttemptStep = progress.endpoint === undefined ? 'start' : 'resume';
	while (!signal.aborted) {
		const giveUpAt = progress.nextIndex > 0 ? progress.deadline : Math.min(progress.deadline, firstEndpointUntil);
		if (parts.wallClock() >= giveUpAt) {
			return {kind: 'incomplete', refusal: giveUpRefusal(progress)};
		}

		const endpoint = step === 'resume' ? progress.endpoint : chooseEndpoint(options, excluded);
		if (endpoint === undefined) {
			excluded.clear();
			await pause(noEndpointMilliseconds * (0.5 + parts.random()), signal);
			continue;
		}

		cancelAtPrevious(options, endpoint);
		const end = await runAttempt({
			...options, sink, endpoint, step, policy, lastTokenAt: sink.lastTokenAt,
		});
		parts.metrics.attempts.inc({service: progress.service.service, end: end.kind});
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
		}
	}

	return {kind: 'caller_gone'};
}

/** Passes tokens on and measures how long each loss keeps the caller waiting. */
class TimedSink implements TokenSink {
	/** Monotonic time of the last token, in milliseconds; the start of the call before the first one. */
	lastTokenAt: number;
	readonly #options: RunGenerationOptions;
	#lossAt: number | undefined;

	constructor(options: RunGenerationOptions) {
		this.#options = options;
		this.lastTokenAt = options.parts.clock();
	}

	/** Records that an attempt was lost after the last token. */
	lost(): void {
		this.#lossAt ??= this.lastTokenAt;
	}

	async token(token: DeliveredToken): Promise<boolean> {
		const {parts, progress, sink} = this.#options;
		this.lastTokenAt = parts.clock();
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

function chooseEndpoint({progress, parts}: RunGenerationOptions, exclude: ReadonlySet<string>): string | undefined {
	return parts.placement.choose({
		service: progress.service.service, prompt: progress.prompt, exclude, now: parts.clock(), random: parts.random(),
	});
}

function giveUpRefusal(progress: Progress): Refusal {
	const started = progress.nextIndex > 0;
	return {
		status: 503,
		code: started ? 'generation_incomplete' : 'no_endpoint',
		message: started
			? `The answer is incomplete: no endpoint with version ${progress.model.version} could continue it in time; come back with the cursor.`
			: 'No endpoint could start the generation in time.',
		run: started ? 'yes' : 'no',
		retryAfterSeconds: comeBackSeconds,
	};
}
