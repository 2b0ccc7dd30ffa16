/**
 * Sends a plain call to one endpoint and reads its answer.
 *
 * @module
 */
import {type EndpointEntry} from '../beliefs/mod.ts';
import {encodeSendHeaders} from '../platform/mod.ts';
import {noteSignals} from './endpoint-signals.ts';
import {readAnswer, type CallAttempt} from './call-attempt.ts';
import {type AttemptContext} from './call-attempts.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingParts} from './forwarding-parts.ts';
import {sendRequest} from './send-request.ts';

/** Time for a connection to an endpoint, in milliseconds. */
const connectMilliseconds = 150;

/**
 * Runs one attempt.
 *
 * @param endpoint Where it goes.
 * @param exchange The call.
 * @param context What ends it, and what bounds its answer.
 * @param parts The router's other parts.
 * @returns How it ended.
 */
export async function sendCallAttempt(endpoint: EndpointEntry, exchange: Exchange, {signal, held}: AttemptContext, parts: ForwardingParts): Promise<CallAttempt> {
	const {request, body, terms, workspace, route, answerBy} = exchange;
	const ended = parts.loads.trackRequest(endpoint.id, 0);
	try {
		const sent = await sendRequest({
			agent: parts.connections.agent(route.kind === 'idempotent' ? 'kept' : 'fresh'),
			address: endpoint.address,
			method: request.method!,
			target: request.url!,
			rawHeaders: encodeSendHeaders(request.rawHeaders, {
				endpointId: endpoint.id,
				workspace: workspace?.name,
				deadlineMilliseconds: answerBy - parts.clock(),
				priority: undefined,
				lastEvent: terms.lastEvent,
				copyTo: undefined,
				goOnFrom: undefined,
			}),
			body,
			attempt: terms.attempt,
			connectMilliseconds,
			signal,
		});
		if (sent.kind === 'answer') {
			noteSignals(endpoint, sent.answer, parts);
			return await readAnswer({
				endpoint, answer: sent.answer, kind: route.kind, held,
			});
		}

		const unreachable = sent.kind === 'not-sent';
		return {
			kind: 'ended', endpoint, end: unreachable ? 'not-run' : 'lost', failure: unreachable ? 'unreachable' : 'broken', message: sent.message,
		};
	} finally {
		ended();
	}
}
