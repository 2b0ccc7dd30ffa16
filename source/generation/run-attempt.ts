/**
 * Runs one attempt of a generation: opens a stream, reads it to its end and closes it.
 *
 * @module
 */
import {openEngineStream, type OpenFailure, type StreamRequest} from '../endpoints/mod.ts';
import {endpointIncarnation} from '../placement/mod.ts';
import {type GenerationParts} from './generation-parts.ts';
import {type Progress, type TokenSink} from './progress.ts';
import {readAttempt, type AttemptResult} from './read-attempt.ts';
import {type RecoveryPolicy} from './recovery-policy.ts';
import {type RunGenerationOptions} from './run-generation.ts';

/** What to request from an endpoint: to resume its own stream of the generation, or to start a new one from the text so far. */
export type AttemptStep = 'resume' | 'start';

/** Options of {@linkcode runAttempt}. */
export type RunAttemptOptions = RunGenerationOptions & {
	endpoint: string;
	step: AttemptStep;
	policy: RecoveryPolicy;
	/** Receives the tokens. */
	sink: TokenSink;
	/** Monotonic time at which the last token arrived on any attempt, in milliseconds. */
	lastTokenAt: number;
};

/**
 * Runs one attempt with the next attempt number.
 *
 * @param options Endpoint, step and options of the generation.
 * @returns How the attempt ended.
 * @example
 * ```ts
 * const result = await runAttempt({...options, endpoint, step: 'start', policy, lastTokenAt});
 * ```
 */
export async function runAttempt(options: RunAttemptOptions): Promise<AttemptResult> {
	const {progress, parts, endpoint, step} = options;
	progress.attempt += 1;
	const tokens = progress.maxTokens - progress.nextIndex;
	const span = parts.tracing.start('attempt', options.span, {
		generation: progress.generation, attempt: progress.attempt, endpoint, step,
	});
	parts.placement.recordStart(endpoint, tokens);
	try {
		const result = await openAndRead(options, parts.tracing.inject(span));
		span.setAttributes({end: result.kind, nextIndex: progress.nextIndex, ...('message' in result && {message: result.message})});
		return result;
	} finally {
		parts.placement.recordEnd(endpoint, tokens);
		span.end();
	}
}

async function openAndRead(options: RunAttemptOptions, traceHeaders: Record<string, string>): Promise<AttemptResult> {
	const {progress, parts, endpoint, step, policy, signal} = options;
	const sentAt = parts.clock();
	const opened = await openEngineStream(streamRequest(progress, step), {
		address: endpoint,
		openTimeoutMilliseconds: step === 'resume' ? policy.resumeTimeoutMilliseconds : policy.startTimeoutMilliseconds,
		traceHeaders,
		signal,
	});
	const named = opened.match(({limit}) => limit, failure => failure.kind === 'refused' ? failure.limit : undefined);
	if (named) {
		parts.limiter.observe(endpointIncarnation(endpoint), named, sentAt);
	}

	if (opened.isErr()) {
		return resultOfOpenFailure(opened.error, options);
	}

	const stream = opened.value;
	progress.endpoint = endpoint;
	parts.placement.recordSuccess(endpoint, parts.clock());
	try {
		return await readAttempt({
			...options,
			stream,
			clock: parts.clock,
			onStarted(event) {
				if (step === 'start' && progress.nextIndex > 0) {
					parts.metrics.extraTokens.inc({service: progress.service.service, work: 'prefill'}, event.prefill_tokens);
					parts.accounts.recordExtraTokens(progress.workspace, progress.service.service, event.prefill_tokens);
				}
			},
		});
	} finally {
		stream.close();
	}
}

function resultOfOpenFailure(failure: OpenFailure, {parts, endpoint, signal}: RunAttemptOptions): AttemptResult {
	if (signal.aborted) {
		return {kind: 'aborted'};
	}

	if (failure.kind === 'unreachable') {
		parts.placement.recordFailure(endpoint, parts.clock());
		return {
			kind: 'unreachable', message: failure.message, connectionRefused: failure.connectionRefused, reset: failure.crashed,
		};
	}

	return failure.code === 'superseded' ? {kind: 'superseded'} : {kind: 'refused', message: failure.message, forgotten: failure.code === 'unknown_generation'};
}

function streamRequest(progress: Progress, step: AttemptStep): StreamRequest {
	const {generation, attempt, model} = progress;
	if (step === 'resume') {
		return {
			kind: 'resume', generation, attempt, afterIndex: progress.nextIndex - 1,
		};
	}

	return {
		kind: 'start',
		request: {
			generation,
			attempt,
			model: model.name,
			version: model.version,
			adapter: model.adapter,
			prompt: progress.prompt,
			text_so_far: progress.text,
			start_index: progress.nextIndex,
			max_tokens: progress.maxTokens,
			seed: progress.seed,
			priority: progress.service.priority,
		},
	};
}
