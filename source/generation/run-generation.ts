/**
 * Serves one generation to its end, over as many attempts as it takes.
 *
 * @module
 */
import {type Span} from '@opentelemetry/api';
import {type Refusal} from '../answers/mod.ts';
import {
	openEngineStream, type EngineClient, type EngineStream, type OpenFailure, type StreamRequest,
} from '../endpoints/mod.ts';
import {type Placement} from '../placement/mod.ts';
import {pause} from '../supervision/mod.ts';
import {type Logger, type Metrics, type Tracing} from '../telemetry/mod.ts';
import {
	type GenerationEnd, type Progress, type TokenSink,
} from './progress.ts';
import {readAttempt, type AttemptEnd} from './read-attempt.ts';
import {recoveryPolicy, type RecoveryPolicy} from './recovery-policy.ts';

/** What a generation needs of the router. */
export type GenerationParts = {
	placement: Placement;
	engines: EngineClient;
	metrics: Metrics;
	tracing: Tracing;
	logger: Logger;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

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

/** Seconds after which a caller may come back with its cursor. */
const comeBackSeconds = 5;

/** What to do next: ask the last endpoint for its own stream, or start elsewhere. */
type NextStep = 'resume' | 'start';

const stepAfterEnd: Record<Exclude<AttemptEnd['kind'], 'finished' | 'superseded' | 'aborted' | 'caller_gone'>, NextStep> = {
	silent: 'resume',
	lost: 'resume',
	broken: 'start',
	stalled: 'start',
	draining: 'start',
};

/**
 * Serves a generation until its answer is whole, its caller is gone or its deadline has passed.
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
	let step: NextStep = progress.endpoint === undefined ? 'start' : 'resume';
	let lastTokenAt = parts.clock();
	let lossAt: number | undefined;
	const sink: TokenSink = {
		async token(token) {
			lastTokenAt = parts.clock();
			if (lossAt !== undefined) {
				parts.metrics.resumeLatency.observe({service: progress.service.service}, (lastTokenAt - lossAt) / 1000);
				lossAt = undefined;
			}

			return options.sink.token(token);
		},
	};
	for (;;) {
		if (signal.aborted) {
			return {kind: 'caller_gone'};
		}

		if (parts.wallClock() >= progress.deadline) {
			return {kind: 'incomplete', refusal: deadlineRefusal(progress)};
		}

		const endpoint = step === 'resume' ? progress.endpoint : chooseEndpoint(options, excluded);
		if (endpoint === undefined) {
			excluded.clear();
			step = 'start';
			await pause(noEndpointMilliseconds, signal);
			continue;
		}

		const end = await runAttempt({
			...options, sink, endpoint, step, policy, lastTokenAt,
		});
		parts.metrics.attempts.inc({service: progress.service.service, end: end.kind});
		options.span.addEvent('attempt ended', {
			attempt: progress.attempt, endpoint, end: end.kind, nextIndex: progress.nextIndex,
		});
		if (end.kind === 'finished') {
			return {kind: 'complete', totalTokens: end.totalTokens, finishReason: end.finishReason};
		}

		if (end.kind === 'superseded') {
			return end;
		}

		if (end.kind === 'aborted' || end.kind === 'caller_gone') {
			return {kind: 'caller_gone'};
		}

		lossAt ??= lastTokenAt;
		step = end.kind === 'lost' && step === 'resume' ? 'start' : stepAfterEnd[end.kind];
		if (step === 'start') {
			excluded.add(endpoint);
		}
	}
}

type RunAttemptOptions = RunGenerationOptions & {
	endpoint: string;
	step: NextStep;
	policy: RecoveryPolicy;
	lastTokenAt: number;
};

async function runAttempt(options: RunAttemptOptions): Promise<AttemptEnd> {
	const {progress, parts, endpoint, step, policy, signal} = options;
	progress.attempt += 1;
	const tokens = progress.maxTokens - progress.nextIndex;
	const span = parts.tracing.start('attempt', options.span, {
		generation: progress.generation, attempt: progress.attempt, endpoint, step,
	});
	parts.placement.started(endpoint, tokens);
	let stream: EngineStream | undefined;
	try {
		const opened = await openEngineStream(streamRequest(progress, step), {
			address: endpoint,
			openMilliseconds: step === 'resume' ? policy.resumeMilliseconds : policy.startMilliseconds,
			traceHeaders: parts.tracing.inject(span),
			signal,
		});
		if (opened.isErr()) {
			span.addEvent('not opened', {message: opened.error.message});
			if (opened.error.kind === 'unreachable' && !signal.aborted) {
				parts.placement.failed(endpoint, parts.clock());
			}

			return endOfOpening(opened.error, signal);
		}

		stream = opened.value;
		progress.endpoint = endpoint;
		parts.placement.succeeded(endpoint, parts.clock());
		return await readAttempt({
			...options,
			stream,
			clock: parts.clock,
			onStarted(event) {
				const extra = progress.attempt > 1 ? event.prefill_tokens : 0;
				parts.metrics.extraTokens.inc({service: progress.service.service, work: 'prefill'}, extra);
			},
		});
	} finally {
		stream?.close();
		parts.placement.finished(endpoint, tokens);
		span.setAttribute('nextIndex', progress.nextIndex);
		span.end();
	}
}

function chooseEndpoint(options: RunGenerationOptions, exclude: ReadonlySet<string>): string | undefined {
	const {progress, parts} = options;
	return parts.placement.choose({
		service: progress.service.service, prompt: progress.prompt, exclude, now: parts.clock(), random: parts.random(),
	});
}

function streamRequest(progress: Progress, step: NextStep): StreamRequest {
	const {generation, attempt} = progress;
	if (step === 'resume') {
		return {
			kind: 'resume', generation, attempt, afterIndex: progress.nextIndex - 1,
		};
	}

	const {model, priority} = progress.service;
	return {
		kind: 'start',
		request: {
			generation,
			attempt,
			model: model.name,
			version: progress.version,
			adapter: model.adapter,
			prompt: progress.prompt,
			text_so_far: progress.text,
			start_index: progress.nextIndex,
			max_tokens: progress.maxTokens,
			seed: progress.seed,
			priority,
		},
	};
}

function endOfOpening(failure: OpenFailure, signal: AbortSignal): AttemptEnd {
	if (signal.aborted) {
		return {kind: 'aborted'};
	}

	if (failure.kind === 'refused') {
		return failure.code === 'superseded' ? {kind: 'superseded'} : {kind: 'draining'};
	}

	return {kind: 'lost', message: failure.message};
}

function deadlineRefusal(progress: Progress): Refusal {
	const started = progress.nextIndex > 0;
	return {
		status: 503,
		code: started ? 'generation_incomplete' : 'no_endpoint',
		message: started
			? `The answer is incomplete: no endpoint with version ${progress.version} could continue it in time; come back with the cursor.`
			: 'No endpoint could start the generation in time.',
		run: started ? 'yes' : 'no',
		retryAfterSeconds: comeBackSeconds,
	};
}
