/**
 * Acquires retries from the retry budget and logs each decision.
 *
 * @module
 */
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** Options of {@linkcode acquireRetry}. */
export type AcquireRetryOptions = {
	/** Whether the request waits until its deadline if no retry can be borrowed, as its caller can get no other answer. Default false. */
	waits?: boolean;
};

/**
 * Returns whether the retry budget allows the request to be sent once more. Logs the decision with its inputs and counts it.
 *
 * @param exchange The request.
 * @param reason Why the request would be retried.
 * @param dependencies Components of the gateway that all requests share.
 * @param options Whether the request waits.
 */
export async function acquireRetry(
	{requestName, service: {name: service}, response, importance, deadline, callerDisconnected: signal}: Exchange,
	reason: string,
	{retryBudgetOf, countRetry, logger, clock}: ForwardingDependencies,
	{waits = false}: AcquireRetryOptions = {},
): Promise<boolean> {
	const askedAt = clock();
	const {allowed, limit, ...inputs} = await retryBudgetOf(service).take({
		hasBegun: response.headersSent, importance, deadline, waits, signal,
	});
	logger.info(allowed ? 'retry allowed by the budget' : 'retry refused by the budget', {
		request: requestName, service, reason, ...inputs, limit: Math.round(limit * 10) / 10, waited: Math.round(clock() - askedAt),
	});
	countRetry(service, reason, allowed);
	return allowed;
}
