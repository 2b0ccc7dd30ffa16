/**
 * Serves `POST /v1/completions`.
 *
 * @module
 */
import {createHash, randomUUID} from 'node:crypto';
import {
	err, ok, type Result,
} from 'neverthrow';
import {type Refusal} from '../answers/mod.ts';
import {type ModelService} from '../configuration/mod.ts';
import {
	checksumText, digestText, parseCursor, recoveryPolicy, runGeneration, type Cursor, type CursorScope, type GenerationOutcome, type Progress,
} from '../generation/mod.ts';
import {pause} from '../supervision/mod.ts';
import {
	badRequest, parseCompletionBody, readBody, type CompletionBody,
} from './bodies.ts';
import {type CallerExchange, type CallerParts} from './caller-context.ts';
import {createCompletionAnswer, type CompletionAnswer} from './completion-answer.ts';
import {sendRefusal} from './respond.ts';

/** Prompt characters per token, for estimates of the prompt's token count. */
const charactersPerToken = 4;

/**
 * Serves one completions request: reads its body, runs the generation and writes the response.
 *
 * @param exchange The caller's request and its response.
 * @param parts The router's components.
 * @returns The outcome code for metrics.
 * @example
 * ```ts
 * const outcome = await serveCompletion(exchange, parts);
 * ```
 */
export async function serveCompletion(exchange: CallerExchange, parts: CallerParts): Promise<string> {
	const prepared = await prepareGeneration(exchange, parts);
	if (prepared.isErr()) {
		sendRefusal(exchange.response, prepared.error);
		return prepared.error.code;
	}

	const {progress, body, scope} = prepared.value;
	const permit = await parts.admission.acquire({
		workspace: exchange.workspace.workspace,
		weight: exchange.workspace.weight,
		service: progress.service.service,
		tokens: Math.ceil(progress.prompt.length / charactersPerToken) + progress.maxTokens - progress.nextIndex,
		requestDigest: progress.requestDigest,
		deadline: progress.deadline,
		isContinuation: progress.nextIndex > 0,
	}, parts.wallClock(), exchange.signal);
	if (permit.isErr()) {
		sendRefusal(exchange.response, permit.error);
		return permit.error.code;
	}

	const tokensDelivered = parts.metrics.tokensDelivered.labels(progress.service.service);
	parts.metrics.liveGenerations.inc();
	const finishLoad = parts.loads.recordStart(progress.service.service, progress.maxTokens - progress.nextIndex);
	const answer = createCompletionAnswer({
		response: exchange.response,
		progress,
		scope,
		cursorKey: parts.settings.callers.cursorKeys[0]!,
		heartbeatMilliseconds: recoveryPolicy(progress.service).heartbeatMilliseconds,
		stream: body.stream,
		signal: exchange.signal,
	});
	try {
		const end = await runGeneration({
			progress,
			parts,
			span: exchange.span,
			signal: exchange.signal,
			sink: {
				async token(token) {
					tokensDelivered.inc();
					parts.accounts.recordDeliveredTokens(progress.workspace, progress.service.service, 1);
					return answer.token(token);
				},
			},
		});
		return handleEnd(end, {
			progress, exchange, parts, answer,
		});
	} finally {
		answer.close();
		permit.value.release();
		finishLoad();
		parts.metrics.liveGenerations.dec();
	}
}

type ServedGeneration = {progress: Progress; exchange: CallerExchange; parts: CallerParts; answer: CompletionAnswer};

function handleEnd(end: GenerationOutcome, {progress, exchange, parts, answer}: ServedGeneration): string {
	switch (end.kind) {
		case 'complete': {
			answer.finish(end.totalTokens, end.finishReason);
			return 'complete';
		}

		case 'incomplete': {
			sendRefusal(exchange.response, end.refusal);
			return end.refusal.code;
		}

		case 'superseded': {
			exchange.response.destroy();
			return end.kind;
		}

		case 'caller_gone': {
			void cancelAfterGrace(progress, parts);
			return end.kind;
		}
	}
}

/** Cancels a generation whose caller has disconnected, after a grace period for a reconnection. The engine refuses the cancellation if a newer attempt has taken over the generation. */
async function cancelAfterGrace(progress: Progress, parts: CallerParts): Promise<void> {
	if (progress.endpoint === undefined) {
		return;
	}

	const {generation, attempt, endpoint} = progress;
	await pause(parts.settings.callers.takeoverGraceMilliseconds);
	const cancelled = await parts.engines.cancel(endpoint, generation, attempt);
	parts.logger.debug('generation cancelled', {generation, attempt, cancelled: cancelled.isOk()});
}

type PreparedGeneration = {progress: Progress; body: CompletionBody; scope: CursorScope};

async function prepareGeneration(exchange: CallerExchange, parts: CallerParts): Promise<Result<PreparedGeneration, Refusal>> {
	const content = await readBody(exchange.intake, parts.settings.callers.largestBodyBytes, parts.clock());
	const parsedBody = content.andThen(text => parseCompletionBody(text));
	if (parsedBody.isErr()) {
		return err(parsedBody.error);
	}

	const body = parsedBody.value;
	const service = parts.configuration.service(body.model);
	if (service?.kind !== 'model') {
		return err({
			status: 404, code: 'not_found', message: `There is no model service "${body.model}".`, run: 'no',
		});
	}

	if (body.max_tokens > service.largestOutputTokens) {
		return err(badRequest(`max_tokens: the service allows at most ${service.largestOutputTokens}`));
	}

	const scope = {workspace: exchange.workspace.workspace, requestDigest: requestDigest(exchange.workspace.workspace, body)};
	const cursor = readCursor(exchange, parts, body, scope);
	return cursor.map(validCursor => ({
		progress: createProgress({
			exchange, parts, service, body, scope, cursor: validCursor,
		}), body, scope,
	}));
}

/** Parses the caller's cursor, if there is one, and verifies its signature, its scope and that the received text matches it. */
function readCursor(exchange: CallerExchange, parts: CallerParts, body: CompletionBody, scope: CursorScope): Result<Cursor | undefined, Refusal> {
	const header = exchange.request.headers['last-event-id'];
	if (typeof header !== 'string' || header === '') {
		return ok(undefined);
	}

	const refuse = (message: string): Refusal => ({
		status: 422, code: 'cursor_refused', message, run: 'no',
	});
	return parseCursor(header, scope, parts.settings.callers.cursorKeys)
		.andThen((cursor): Result<Cursor, string> => checksumText(body.received_text ?? '') === cursor.textChecksum
			? ok(cursor)
			: err('received_text is not the text up to the cursor'))
		.mapErr(message => refuse(message));
}

type ProgressOptions = {
	exchange: CallerExchange;
	parts: CallerParts;
	service: ModelService;
	body: CompletionBody;
	scope: CursorScope;
	cursor: Cursor | undefined;
};

/**
 * Creates the progress of a new generation, or of one that is resumed from a cursor.
 *
 * When a generation is resumed from a cursor, its attempts are numbered from the wall-clock time. The numbers are thus higher than
 * those of the router that served the caller before, even if that router has started attempts that the cursor does not include.
 */
function createProgress({exchange, parts, service, body, scope, cursor}: ProgressOptions): Progress {
	const generation = cursor?.generation ?? randomUUID();
	return {
		generation,
		workspace: exchange.workspace.workspace,
		service,
		model: cursor?.model ?? service.model,
		prompt: body.prompt,
		requestDigest: scope.requestDigest,
		maxTokens: body.max_tokens,
		seed: body.seed ?? deriveSeed(generation),
		deadline: parts.wallClock() + (service.deadlineSeconds * 1000),
		text: cursor ? body.received_text ?? '' : '',
		nextIndex: cursor ? cursor.index + 1 : 0,
		attempt: cursor ? Math.max(cursor.attempt, parts.wallClock()) : 0,
		endpoint: cursor?.endpoint,
	};
}

function requestDigest(workspace: string, body: CompletionBody): string {
	return digestText(JSON.stringify([workspace, body.model, body.prompt, body.max_tokens, body.seed ?? '']));
}

/** Derives the default seed of a generation from its id, so that every router resumes the generation with the same seed. */
function deriveSeed(generation: string): number {
	return createHash('sha256').update(generation).digest().readUInt32BE(0);
}
