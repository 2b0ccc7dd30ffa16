/**
 * Writes a generation to its caller, as server-sent events or as one JSON answer.
 *
 * @module
 */
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {
	TextChecksum, formatCursor, type CursorScope, type DeliveredToken, type Progress,
} from '../generation/mod.ts';
import {sendJson} from './respond.ts';

/** Time without room in the caller's connection after which the caller counts as gone, in milliseconds. */
const callerStallMilliseconds = 10_000;

/** Options of {@linkcode createCompletionAnswer}. */
export type CompletionAnswerOptions = {
	response: ServerResponse;
	progress: Progress;
	scope: CursorScope;
	/** Key that signs cursors. */
	cursorKey: string;
	/** Time between heartbeats on an idle stream, in milliseconds. */
	heartbeatMilliseconds: number;
	/** Whether the caller asked for a stream. */
	stream: boolean;
	/** Aborts when the caller is gone. */
	signal: AbortSignal;
};

/** Answer of one generation. */
export type CompletionAnswer = {
	/** Forwards one token; returns false when the caller is gone. */
	token(token: DeliveredToken): boolean | Promise<boolean>;
	/** Writes the end of a whole answer. */
	finish(totalTokens: number, finishReason: string): void;
	/** Stops the heartbeat. */
	close(): void;
};

/**
 * Creates the answer that fits the request.
 *
 * @param options Response, generation and signing key.
 * @example
 * ```ts
 * const answer = createCompletionAnswer({response, progress, scope, cursorKey, heartbeatMilliseconds, stream: true, signal});
 * ```
 */
export function createCompletionAnswer(options: CompletionAnswerOptions): CompletionAnswer {
	return options.stream ? streamAnswer(options) : wholeAnswer(options);
}

function streamAnswer(options: CompletionAnswerOptions): CompletionAnswer {
	const {response, progress, scope, cursorKey, signal, heartbeatMilliseconds} = options;
	const checksum = new TextChecksum();
	checksum.add(progress.text);
	// Without chunked encoding each token is one plain write; `[DONE]` marks the end of the answer.
	response.useChunkedEncodingByDefault = false;
	response.writeHead(200, {
		connection: 'close',
		'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-generation': progress.generation, 'x-heartbeat-milliseconds': String(heartbeatMilliseconds),
	});
	response.write(': open\n\n');
	let wrote = false;
	const heartbeat = setInterval(() => {
		if (!wrote && !response.writableNeedDrain) {
			response.write(': heartbeat\n\n');
		}

		wrote = false;
	}, heartbeatMilliseconds);
	return {
		async token(token) {
			wrote = true;
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
			return write(response, `id: ${id}\ndata: ${JSON.stringify({...head(progress), token_index: token.index, choices: [choice]})}\n\n`, signal);
		},
		finish(totalTokens, finishReason) {
			const choice = {index: 0, text: '', finish_reason: finishReason};
			response.write(`data: ${JSON.stringify({...head(progress), total_tokens: totalTokens, choices: [choice]})}\n\n`);
			response.end('data: [DONE]\n\n');
		},
		close() {
			clearInterval(heartbeat);
		},
	};
}

function wholeAnswer(options: CompletionAnswerOptions): CompletionAnswer {
	const {response, progress, signal} = options;
	return {
		token() {
			return !signal.aborted;
		},
		finish(totalTokens, finishReason) {
			const choice = {index: 0, text: progress.text, finish_reason: finishReason};
			sendJson(response, 200, {...head(progress), total_tokens: totalTokens, choices: [choice]});
		},
		close() {
			// There is nothing to stop.
		},
	};
}

function head(progress: Progress) {
	return {id: progress.generation, object: 'text_completion', model: progress.service.service};
}

/** Writes to the caller; waits only while the connection has no room. */
function write(response: ServerResponse, text: string, signal: AbortSignal): boolean | Promise<boolean> {
	if (signal.aborted) {
		return false;
	}

	return response.write(text) || waitForRoom(response, signal);
}

async function waitForRoom(response: ServerResponse, signal: AbortSignal): Promise<boolean> {
	try {
		await once(response, 'drain', {signal: AbortSignal.any([signal, AbortSignal.timeout(callerStallMilliseconds)])});
		return true;
	} catch {
		return false;
	}
}
