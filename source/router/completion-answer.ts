/**
 * Writes a generation to its caller, as server-sent events or as a single JSON response.
 *
 * @module
 */
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {
	TextChecksum, formatCursor, type CursorScope, type DeliveredToken, type Progress,
} from '../generation/mod.ts';
import {sendJson} from './respond.ts';

/** Time for which a write to a caller may be blocked by backpressure before the caller counts as disconnected, in milliseconds. */
const callerStallTimeoutMilliseconds = 10_000;

/** Options of {@linkcode createCompletionAnswer}. */
export type CompletionAnswerOptions = {
	response: ServerResponse;
	progress: Progress;
	scope: CursorScope;
	/** Key that signs cursors. */
	cursorKey: string;
	/** Interval between heartbeats on an idle stream, in milliseconds. */
	heartbeatMilliseconds: number;
	/** Whether the caller requested a stream. */
	stream: boolean;
	/** Aborts when the caller has disconnected. */
	signal: AbortSignal;
};

/** Response to one generation request. */
export type CompletionAnswer = {
	/** Forwards one token; returns `false` if the caller has disconnected. */
	token(token: DeliveredToken): boolean | Promise<boolean>;
	/** Completes the response of a finished generation. */
	finish(totalTokens: number, finishReason: string): void;
	/** Stops the heartbeat timer. */
	close(): void;
};

/**
 * Creates a streamed or a JSON response, as the caller requested.
 *
 * @param options The HTTP response, the progress of the generation and the key that signs cursors.
 * @example
 * ```ts
 * const answer = createCompletionAnswer({response, progress, scope, cursorKey, heartbeatMilliseconds, stream: true, signal});
 * ```
 */
export function createCompletionAnswer(options: CompletionAnswerOptions): CompletionAnswer {
	return options.stream ? createStreamAnswer(options) : createJsonAnswer(options);
}

function createStreamAnswer(options: CompletionAnswerOptions): CompletionAnswer {
	const {response, progress, scope, cursorKey, signal, heartbeatMilliseconds} = options;
	const checksum = new TextChecksum();
	checksum.add(progress.text);
	// Without chunked encoding each token is a single plain write. `[DONE]` marks the end of the stream.
	response.useChunkedEncodingByDefault = false;
	response.writeHead(200, {
		connection: 'close',
		'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-generation': progress.generation, 'x-heartbeat-milliseconds': String(heartbeatMilliseconds),
	});
	response.write(': open\n\n');
	let hasWritten = false;
	const heartbeat = setInterval(() => {
		if (!hasWritten && !response.writableNeedDrain) {
			response.write(': heartbeat\n\n');
		}

		hasWritten = false;
	}, heartbeatMilliseconds);
	return {
		async token(token) {
			hasWritten = true;
			checksum.add(token.text);
			const id = formatCursor({
				generation: progress.generation,
				attempt: token.attempt,
				index: token.index,
				endpoint: token.endpoint,
				model: progress.model,
				textChecksum: checksum.value(),
			}, scope, cursorKey);
			const choice = {index: 0, text: token.text};
			return write(response, `id: ${id}\ndata: ${JSON.stringify({...commonFields(progress), token_index: token.index, choices: [choice]})}\n\n`, signal);
		},
		finish(totalTokens, finishReason) {
			const choice = {index: 0, text: '', finish_reason: finishReason};
			response.write(`data: ${JSON.stringify({...commonFields(progress), total_tokens: totalTokens, choices: [choice]})}\n\n`);
			response.end('data: [DONE]\n\n');
		},
		close() {
			clearInterval(heartbeat);
		},
	};
}

function createJsonAnswer(options: CompletionAnswerOptions): CompletionAnswer {
	const {response, progress, signal} = options;
	return {
		token() {
			return !signal.aborted;
		},
		finish(totalTokens, finishReason) {
			const choice = {index: 0, text: progress.text, finish_reason: finishReason};
			sendJson(response, 200, {...commonFields(progress), total_tokens: totalTokens, choices: [choice]});
		},
		close() {
			// A JSON response has no heartbeat.
		},
	};
}

function commonFields(progress: Progress) {
	return {id: progress.generation, object: 'text_completion', model: progress.service.service};
}

/** Writes to the caller and waits only while the connection applies backpressure; returns `false` if the caller has disconnected. */
function write(response: ServerResponse, text: string, signal: AbortSignal): boolean | Promise<boolean> {
	if (signal.aborted) {
		return false;
	}

	return response.write(text) || waitForDrain(response, signal);
}

async function waitForDrain(response: ServerResponse, signal: AbortSignal): Promise<boolean> {
	try {
		await once(response, 'drain', {signal: AbortSignal.any([signal, AbortSignal.timeout(callerStallTimeoutMilliseconds)])});
		return true;
	} catch {
		return false;
	}
}
