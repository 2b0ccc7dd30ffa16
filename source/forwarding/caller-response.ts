/**
 * Writes responses to callers.
 *
 * @module
 */
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import {encodeResponseHeaders} from '../platform/mod.ts';
import {type PartialResponse} from './call-attempt-result.ts';
import {IncompleteResponseError} from './send-request.ts';

/** An error response that the gateway itself generates. */
export type ErrorResponse = {
	/** 429 and 503 guarantee that the request was not executed and will not be. */
	status: 400 | 401 | 404 | 408 | 413 | 429 | 502 | 503 | 504;
	/** Short, stable error code. */
	code: string;
	/** Human-readable description of the error. */
	message: string;
	/** Delay after which the caller may retry, in milliseconds. */
	retryAfterMilliseconds?: number;
};

/**
 * Sends an error response, unless a response has already started.
 *
 * @param response Response to the caller.
 * @param error The error to send.
 */
export function sendErrorResponse(response: ServerResponse, {status, code, message, retryAfterMilliseconds}: ErrorResponse): void {
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
 * Sends an endpoint's complete response.
 *
 * @param response Response to the caller.
 * @param status Status of the endpoint's response.
 * @param rawHeaders Headers of the endpoint's response, as alternating names and values.
 * @param body The complete body.
 */
export function sendCompleteResponse(response: ServerResponse, status: number, rawHeaders: readonly string[], body: Uint8Array): void {
	response.sendDate = false;
	response.writeHead(status, [...encodeResponseHeaders(rawHeaders), 'Content-Length', String(body.length)]);
	response.end(body);
}

/**
 * Streams an endpoint's response to the caller with backpressure.
 *
 * If the response breaks off, the caller's connection must be closed, which shows that the body is incomplete.
 *
 * @param response Response to the caller.
 * @param partialResponse The endpoint's response.
 * @param signal Aborts when the caller has disconnected or its deadline has passed.
 * @returns Ok once the whole response has been written, or the reason why it was not.
 */
export async function streamResponse(response: ServerResponse, {status, rawHeaders, received, remaining}: PartialResponse, signal: AbortSignal): Promise<Result<void, string>> {
	startResponse(response, status, rawHeaders);
	try {
		for (const chunk of received) {
			await writeToCaller(response, chunk, signal);
		}

		for await (const chunk of remaining) {
			await writeToCaller(response, chunk, signal);
		}
	} catch (error) {
		if (!(error instanceof IncompleteResponseError)) {
			throw error;
		}

		return err(error.message);
	}

	response.end();
	return ok();
}

/**
 * Writes to a caller and waits until its connection accepts more data.
 *
 * @param response Response to the caller.
 * @param bytes Data to write.
 * @param signal Ends the wait.
 * @param onWait Called with true when the wait begins, and with false when it ends; not called without a wait. Default does nothing.
 */
export async function writeToCaller(response: ServerResponse, bytes: Uint8Array, signal: AbortSignal, onWait: (isWaiting: boolean) => void = () => undefined): Promise<void> {
	if (response.write(bytes) || signal.aborted) {
		return;
	}

	onWait(true);
	try {
		await once(response, 'drain', {signal});
	} catch {
		// Aborted: the next read of the endpoint's response fails and ends the stream.
	}

	onWait(false);
}

/**
 * Starts a chunked response. A body that breaks off is signalled by closing the connection.
 *
 * @param response Response to the caller.
 * @param status Status of the endpoint's response.
 * @param rawHeaders Headers of the endpoint's response, as alternating names and values.
 */
export function startResponse(response: ServerResponse, status: number, rawHeaders: readonly string[]): void {
	response.sendDate = false;
	response.writeHead(status, [...encodeResponseHeaders(rawHeaders), 'Transfer-Encoding', 'chunked']);
	response.flushHeaders();
}
