/**
 * Sends a call to one endpoint and reads its response.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {encodeRequestHeaders} from '../platform/mod.ts';
import {recordSignals} from './endpoint-signals.ts';
import {readResponse, type CallAttemptResult} from './call-attempt-result.ts';
import {type AttemptContext} from './call-attempts.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';
import {sendRequest} from './send-request.ts';

/** Timeout for connecting to an endpoint, in milliseconds. */
const connectTimeoutMilliseconds = 150;

/**
 * Runs one attempt.
 *
 * @param endpoint Endpoint to send the call to.
 * @param exchange The call.
 * @param context Abort signal and response buffer of the attempt.
 * @param dependencies Components of the gateway that all requests share.
 * @returns Result of the attempt.
 */
export async function sendCallAttempt(endpoint: EndpointEntry, exchange: Exchange, {signal, buffer}: AttemptContext, dependencies: ForwardingDependencies): Promise<CallAttemptResult> {
	const {request, body, terms, workspace, route, deadline} = exchange;
	const endLoad = dependencies.loads.trackRequest(endpoint.id, 0);
	const sentAt = dependencies.clock();
	try {
		const sent = await sendRequest({
			agent: dependencies.connections.agent(route.kind === 'idempotent' ? 'pooled' : 'proven', endpoint.address),
			address: endpoint.address,
			method: request.method!,
			target: request.url!,
			rawHeaders: encodeRequestHeaders(request.rawHeaders, {
				endpointId: endpoint.id,
				workspace: workspace?.name,
				deadlineMilliseconds: deadline - dependencies.clock(),
				priority: exchange.enginePriority,
				lastEvent: terms.lastEvent,
				copyTo: undefined,
				resumeFrom: undefined,
			}),
			body,
			attemptId: terms.attempt,
			connectTimeoutMilliseconds,
			signal,
		});
		if (sent.kind === 'response') {
			recordSignals(endpoint, {...sent.response, sentAt}, dependencies);
			return await readResponse({
				endpoint, response: sent.response, kind: route.kind, buffer,
			});
		}

		const unreachable = sent.kind === 'not-sent';
		return {
			kind: 'unsuccessful', endpoint, end: unreachable ? 'not-run' : 'lost', failure: unreachable ? 'unreachable' : 'broken', message: sent.message,
		};
	} finally {
		endLoad();
	}
}
