/**
 * Admits a request again before it is sent to another endpoint.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type WaitEnd} from '../supervision/settle-in-time.ts';
import {admitInTime} from './admit-in-time.ts';
import {handlingOf, type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** Why a request is not admitted again: it is refused for a time, or was not admitted in time. */
export type NotAdmitted = {kind: 'refused'; retryAfterMilliseconds: number} | {kind: WaitEnd};

/**
 * Admits a request again if it is refused by now: it may have waited, or its own endpoint may have crashed.
 *
 * @param exchange The request; its handling is updated.
 * @param dependencies Requests and prompt parts that crash endpoints, and the clock.
 * @returns Why the request may not be sent, if it may not.
 */
export async function admitAgain(exchange: Exchange, dependencies: Pick<ForwardingDependencies, 'suspects' | 'clock'>): Promise<Result<void, NotAdmitted>> {
	if (exchange.handling === 'trial' || !dependencies.suspects.isRefused(exchange.identity)) {
		return ok();
	}

	const admitted = await admitInTime(exchange, dependencies);
	if (admitted.isErr()) {
		return err({kind: admitted.error});
	}

	if (admitted.value.kind === 'refused') {
		return err(admitted.value);
	}

	exchange.handling = handlingOf(admitted.value);
	return ok();
}
