/**
 * Streams the response to a call that is too large to buffer.
 *
 * @module
 */
import {type CallAttemptResult} from './call-attempt-result.ts';
import {type CallEnding} from './call-ending.ts';
import {streamResponse} from './caller-response.ts';
import {closingOutcomes} from './closing-reason.ts';
import {type Exchange, type ExchangeOutcome} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** Options of {@linkcode streamCallResponse}. */
export type StreamCallResponseOptions = {
	exchange: Pick<Exchange, 'response' | 'requestName'>;
	dependencies: Pick<ForwardingDependencies, 'loads' | 'health' | 'logger' | 'clock' | 'callerConnections'>;
	ending: Pick<CallEnding, 'outcome'>;
	/** Aborts when the caller disconnects or the deadline passes. */
	signal: AbortSignal;
};

/**
 * Streams a response to the caller, and records the health of its endpoint.
 *
 * @param options The call and its context.
 * @param result The response, whose other attempts have been aborted.
 * @returns Outcome of the call; the caller's connection is closed if the response breaks off.
 */
export async function streamCallResponse(
	{exchange: {response, requestName}, dependencies: {loads, health, logger, clock, callerConnections}, ending, signal}: StreamCallResponseOptions,
	{endpoint, response: endpointResponse}: CallAttemptResult & {kind: 'streaming'},
): Promise<ExchangeOutcome> {
	const endLoad = loads.trackRequest(endpoint.id, 0);
	const streamed = await streamResponse(response, endpointResponse, signal);
	endLoad();
	if (streamed.isOk()) {
		health.recordSuccess(endpoint.id, clock());
		return ending.outcome('answered', endpointResponse.status);
	}

	const reason = callerConnections.close(response, 'broken-off', streamed.error);
	if (reason !== 'broken-off') {
		return ending.outcome(closingOutcomes[reason], 0);
	}

	health.recordFailure(endpoint.id, 'broken', clock());
	logger.info('answer broken off', {
		request: requestName, endpoint: endpoint.id, status: endpointResponse.status, reason: streamed.error,
	});
	return ending.outcome('broken_off', endpointResponse.status);
}
