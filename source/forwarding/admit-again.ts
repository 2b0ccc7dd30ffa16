/**
 * Admits a request again before it is sent to another endpoint.
 *
 * @module
 */
import {type SuspectedRequests} from '../suspects/mod.ts';
import {handlingOf, type Exchange} from './exchange.ts';

/**
 * Admits a request again if it is refused by now: it may have waited, or its own endpoint may have crashed.
 *
 * @param exchange The request; its handling is updated.
 * @param suspects Requests and prompt parts that crash endpoints.
 * @returns The refusal; `undefined` if the request may be sent.
 */
export async function admitAgain(exchange: Exchange, suspects: Pick<SuspectedRequests, 'admit' | 'isRefused'>): Promise<{retryAfterMilliseconds: number} | undefined> {
	if (exchange.handling === 'trial' || !suspects.isRefused(exchange.identity)) {
		return undefined;
	}

	const admission = await suspects.admit(exchange.identity);
	if (admission.kind === 'refused') {
		return admission;
	}

	exchange.handling = handlingOf(admission);
	return undefined;
}
