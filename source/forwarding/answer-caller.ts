/**
 * Writes answers to callers.
 *
 * @module
 */
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import {encodeAnswerHeaders} from '../platform/mod.ts';
import {type BegunAnswer} from './call-attempt.ts';
import {BrokenAnswerError} from './send-request.ts';

/** A final answer of the system itself. */
export type Refusal = {
	/** 429 and 503 promise that the request has not run and will not. */
	status: 400 | 401 | 404 | 408 | 413 | 429 | 502 | 503 | 504;
	/** Short stable word. */
	code: string;
	/** What happened, for people. */
	message: string;
	/** When the caller may come back, in milliseconds. */
	retryAfterMilliseconds?: number;
};

/**
 * Sends a refusal, unless the answer has begun.
 *
 * @param response The caller's answer.
 * @param refusal What to say.
 */
export function sendRefusal(response: ServerResponse, {status, code, message, retryAfterMilliseconds}: Refusal): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = JSON.stringify({error: {code, message}});
	const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
	if (retryAfterMilliseconds !== undefined) {
		headers.push('Retry-After', (retryAfterMilliseconds / 1000).toFixed(3));
	}

	response.writeHead(status, headers);
	response.end(body);
}

/**
 * Sends an endpoint's whole answer.
 *
 * @param response The caller's answer.
 * @param status The endpoint's status.
 * @param rawHeaders The endpoint's headers, names and values by turns.
 * @param body The whole body.
 */
export function sendWholeAnswer(response: ServerResponse, status: number, rawHeaders: readonly string[], body: Uint8Array): void {
	response.sendDate = false;
	response.writeHead(status, [...encodeAnswerHeaders(rawHeaders), 'Content-Length', String(body.length)]);
	response.end(body);
}

/**
 * Passes an answer on as it comes, no faster than the caller reads; one that breaks off is shown by cutting the connection.
 *
 * @param response The caller's answer.
 * @param answer The endpoint's answer.
 * @param signal Ends the answer early: the caller has left, or its time is over.
 * @returns Whether the caller has it whole, or why not.
 */
export async function passAnswerOn(response: ServerResponse, {status, rawHeaders, begin, rest}: BegunAnswer, signal: AbortSignal): Promise<Result<void, string>> {
	beginAnswer(response, status, rawHeaders);
	try {
		for (const chunk of begin) {
			await writeToCaller(response, chunk, signal);
		}

		for await (const chunk of rest) {
			await writeToCaller(response, chunk, signal);
		}
	} catch (error) {
		if (!(error instanceof BrokenAnswerError)) {
			throw error;
		}

		response.destroy();
		return err(error.message);
	}

	response.end();
	return ok();
}

/**
 * Writes to a caller and waits until its connection has room again.
 *
 * @param response The caller's answer.
 * @param bytes What to write.
 * @param signal Ends the wait.
 */
export async function writeToCaller(response: ServerResponse, bytes: Uint8Array, signal: AbortSignal): Promise<void> {
	if (response.write(bytes) || signal.aborted) {
		return;
	}

	try {
		await once(response, 'drain', {signal});
	} catch {
		// The wait is over; the next read of the answer ends it.
	}
}

/**
 * Begins an answer whose body follows in parts; a body that breaks off is shown by cutting the connection.
 *
 * @param response The caller's answer.
 * @param status The endpoint's status.
 * @param rawHeaders The endpoint's headers, names and values by turns.
 */
export function beginAnswer(response: ServerResponse, status: number, rawHeaders: readonly string[]): void {
	response.sendDate = false;
	response.writeHead(status, [...encodeAnswerHeaders(rawHeaders), 'Transfer-Encoding', 'chunked']);
	response.flushHeaders();
}
