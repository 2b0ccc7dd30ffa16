/**
 * Acquires retries from the retry budget and logs each decision.
 *
 * @module
 */
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/**
 * Returns whether the retry budget allows the request to be sent once more. Logs the decision with its inputs and counts it.
 *
 * @param exchange The request.
 * @param reason Why the request would be retried.
 * @param dependencies Components of the gateway that all requests share.
 */
export async function acquireRetry({requestName, service: {name: service}}: Exchange, reason: string, {retryBudgetOf, countRetry, logger}: ForwardingDependencies): Promise<boolean> {
	const {allowed, limit, ...inputs} = await retryBudgetOf(service).take();
	logger.info(allowed ? 'retry allowed by the budget' : 'retry refused by the budget', {
		request: requestName, service, reason, ...inputs, limit: Math.round(limit * 10) / 10,
	});
	countRetry(service, reason, allowed);
	return allowed;
}
