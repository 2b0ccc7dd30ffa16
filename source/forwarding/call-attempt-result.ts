/**
 * Reads the response to one attempt of a call and determines the attempt's result.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type EndpointEntry} from '../registry/mod.ts';
import {type EndpointFailure} from '../balancing/mod.ts';
import {type RequestKind} from '../routing/mod.ts';
import {type ResponseBuffer} from './response-buffers.ts';
import {type AttemptEnd} from './retry-decision.ts';
import {IncompleteResponseError, type EndpointResponse} from './send-request.ts';

/** A complete response of an endpoint. */
export type CompleteResponse = {status: number; rawHeaders: readonly string[]; body: Uint8Array};

/** A response that is too large to buffer: the chunks received so far, and the remaining ones as they arrive. */
export type PartialResponse = {status: number; rawHeaders: readonly string[]; received: readonly Uint8Array[]; remaining: AsyncGenerator<Uint8Array, void>};

/** Result of one attempt; `streaming` means that the response is too large to buffer and must be streamed to the caller. */
export type CallAttemptResult
	= | {kind: 'answered'; endpoint: EndpointEntry; response: CompleteResponse}
		| {kind: 'streaming'; endpoint: EndpointEntry; response: PartialResponse}
		| {kind: 'unsuccessful'; endpoint: EndpointEntry; end: AttemptEnd; failure: EndpointFailure | undefined; message: string; response?: CompleteResponse; retryAfterMilliseconds?: number};

/** Options of {@linkcode readResponse}. */
export type ReadResponseOptions = {
	/** The endpoint that sent the response. */
	endpoint: EndpointEntry;
	response: EndpointResponse;
	kind: RequestKind;
	/** Limits how much of the response is buffered. */
	buffer: ResponseBuffer;
};

/**
 * Reads a response to its end or to the buffer limit, and returns the result of the attempt.
 *
 * @param options Endpoint, response and buffer.
 */
export async function readResponse(options: ReadResponseOptions): Promise<CallAttemptResult> {
	const {endpoint, response: endpointResponse, buffer} = options;
	const chunks: Uint8Array[] = [];
	const body = endpointResponse.body();
	let bytes = 0;
	try {
		for (let next = await body.next(); !next.done; next = await body.next()) {
			chunks.push(next.value);
			bytes += next.value.length;
			if (!buffer.resize(bytes)) {
				return handleLargeResponse(options, {
					status: endpointResponse.status, rawHeaders: endpointResponse.rawHeaders, received: chunks, remaining: body,
				});
			}
		}
	} catch (error) {
		if (!(error instanceof IncompleteResponseError)) {
			throw error;
		}

		return endpointResponse.terms.notExecuted
			? notExecuted(endpoint, endpointResponse)
			: {
				kind: 'unsuccessful', endpoint, end: 'lost', failure: 'broken', message: error.message,
			};
	}

	if (endpointResponse.terms.notExecuted) {
		return notExecuted(endpoint, endpointResponse);
	}

	const completeResponse = {status: endpointResponse.status, rawHeaders: endpointResponse.rawHeaders, body: Buffer.concat(chunks)};
	return endpointResponse.status < 500
		? {kind: 'answered', endpoint, response: completeResponse}
		: {
			kind: 'unsuccessful', endpoint, end: 'failed', failure: 'failed', message: `the endpoint answered ${endpointResponse.status}`, response: completeResponse,
		};
}

/**
 * Streams a response that is too large to buffer. It is cancelled instead if its head says that the request was not executed, if it is
 * an error that another endpoint may avoid, or if too many responses are being streamed.
 */
function handleLargeResponse({endpoint, response: endpointResponse, kind, buffer}: ReadResponseOptions, partialResponse: PartialResponse): CallAttemptResult {
	const mayRetryElsewhere = endpointResponse.status >= 500 && kind === 'idempotent';
	const mayStream = !endpointResponse.terms.notExecuted && !mayRetryElsewhere && buffer.startStreaming();
	if (mayStream) {
		return {kind: 'streaming', endpoint, response: partialResponse};
	}

	endpointResponse.cancel();
	return endpointResponse.terms.notExecuted
		? notExecuted(endpoint, endpointResponse)
		: {
			kind: 'unsuccessful',
			endpoint,
			end: mayRetryElsewhere ? 'failed' : 'lost',
			failure: 'broken',
			message: `the endpoint answered ${endpointResponse.status} with a body that is too large to buffer`,
		};
}

function notExecuted(endpoint: EndpointEntry, {status, terms}: EndpointResponse): CallAttemptResult {
	return {
		kind: 'unsuccessful',
		endpoint,
		end: 'not-run',
		failure: status === 421 ? undefined : 'full',
		message: `the endpoint refused with ${status}`,
		retryAfterMilliseconds: terms.retryAfterMilliseconds,
	};
}
