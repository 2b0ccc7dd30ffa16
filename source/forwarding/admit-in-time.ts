/**
 * Admits a request that may crash endpoints, within its deadline.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {settleInTime, type WaitEnd} from '../supervision/settle-in-time.ts';
import {type SuspectAdmission} from '../suspects/mod.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** What is needed of a request to admit it. */
export type RequestToAdmit = Pick<Exchange, 'identity' | 'deadline' | 'callerDisconnected'>;

/**
 * Admits a request, unless its deadline passes or its caller disconnects first. A trial that is granted later is reverted, since it does not
 * run.
 *
 * @param request The request.
 * @param dependencies Requests that crash endpoints, and the clock.
 */
export async function admitInTime(request: RequestToAdmit, {suspects, clock}: Pick<ForwardingDependencies, 'suspects' | 'clock'>): Promise<Result<SuspectAdmission, WaitEnd>> {
	const {identity, deadline: until, callerDisconnected: signal} = request;
	const admission = suspects.admit(identity);
	const admitted = await settleInTime(admission, {until, signal, clock});
	if (admitted.isErr()) {
		void admission.then(async ({kind}) => kind === 'trial' ? suspects.revertTrial(identity) : undefined);
	}

	return admitted;
}
