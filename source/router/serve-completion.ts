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

/** Characters of a prompt that count as one token in estimates. */
const charactersPerToken = 4;

/**
 * Serves one completions request from its body to the end of its answer.
 *
 * @param exchange The caller's request.
 * @param parts The router's parts.
 * @returns The outcome code for metrics.
 * @example
 * ```ts
 * const outcome = await serveCompletion(exchange, parts);
 * ```
 */
export async function serveCompletion(exchange: CallerExchange, parts: CallerParts): Promise<string> {
	const prepared = await prepare(exchange, parts);
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
	const loadEnded = parts.loads.recordStart(progress.service.service, progress.maxTokens - progress.nextIndex);
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
		loadEnded();
		parts.metrics.liveGenerations.dec();
	}
}

type Serving = {progress: Progress; exchange: CallerExchange; parts: CallerParts; answer: CompletionAnswer};

function handleEnd(end: GenerationOutcome, {progress, exchange, parts, answer}: Serving): string {
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

/** Cancels a generation whose caller has not come back; the engine refuses when a newer attempt has taken it over. */
async function cancelAfterGrace(progress: Progress, parts: CallerParts): Promise<void> {
	if (progress.endpoint === undefined) {
		return;
	}

	const {generation, attempt, endpoint} = progress;
	await pause(parts.settings.callers.takeoverGraceMilliseconds);
	const cancelled = await parts.engines.cancel(endpoint, generation, attempt);
	parts.logger.debug('generation cancelled', {generation, attempt, cancelled: cancelled.isOk()});
}

type Prepared = {progress: Progress; body: CompletionBody; scope: CursorScope};

async function prepare(exchange: CallerExchange, parts: CallerParts): Promise<Result<Prepared, Refusal>> {
	const text = await readBody(exchange.request, parts.settings.callers.largestBodyBytes);
	const parsed = text.andThen(content => parseCompletionBody(content));
	if (parsed.isErr()) {
		return err(parsed.error);
	}

	const body = parsed.value;
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
	return cursor.map(shown => ({
		progress: createProgress({
			exchange, parts, service, body, scope, cursor: shown,
		}), body, scope,
	}));
}

/** Reads the caller's cursor, if it shows one, and checks that it is the caller's own and fits the received text. */
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
 * Creates the progress of a new generation, or of the one that a cursor continues.
 *
 * A router that continues from a cursor numbers its attempts from the wall clock, so that they are higher than
 * those of the router that the caller left, even where that one has started attempts which the cursor does not show.
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
		seed: body.seed ?? seedOf(generation),
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

/** Derives the seed of a generation from its name, so that any router continues with the same one. */
function seedOf(generation: string): number {
	return createHash('sha256').update(generation).digest().readUInt32BE(0);
}
