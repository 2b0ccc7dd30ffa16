/**
 * Asks the budget for a retry and records what it was decided from.
 *
 * @module
 */
import {type Exchange} from './exchange.ts';
import {type ForwardingParts} from './forwarding-parts.ts';

/**
 * Whether a request may be sent once more; the decision is logged with its inputs, and counted.
 *
 * @param exchange The request.
 * @param reason Why it would be sent again.
 * @param parts The router's other parts.
 */
export async function askRetryBudget({requestName, service: {name: service}}: Exchange, reason: string, {retryBudgetOf, countRetry, logger}: ForwardingParts): Promise<boolean> {
	const {allowed, limit, ...inputs} = await retryBudgetOf(service).take();
	logger.info(allowed ? 'retry allowed by the budget' : 'retry refused by the budget', {
		request: requestName, service, reason, ...inputs, limit: Math.round(limit * 10) / 10,
	});
	countRetry(service, reason, allowed);
	return allowed;
}
