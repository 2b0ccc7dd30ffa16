/**
 * The retry budgets of a gateway, one for each service.
 *
 * @module
 */
import {readClock} from '../clocks/mod.ts';
import {ExchangeClient, createLenderPort, type MemberTable} from '../fleet/mod.ts';
import {type StoreClient} from '../platform/mod.ts';
import {
	PeerBorrower, SharedRetryBudget, SlackBorrower, creditsPerRetry, type RetryLoanReply, type RetryLoanRequest,
} from '../retries/mod.ts';
import {type GatewaySettings} from '../settings/gateway-settings.ts';
import {type StoreEraRecord} from '../stored-rows/mod.ts';
import {type GatewayMetrics} from '../telemetry/gateway-metrics.ts';
import {type Logger} from '../telemetry/logger.ts';

/** Options of {@linkcode createRetryBudgets}. */
export type RetryBudgetsOptions = {
	settings: GatewaySettings;
	store: StoreClient;
	eraRecord: StoreEraRecord;
	members: MemberTable;
	metrics: GatewayMetrics;
	logger: Logger;
};

/** The retry budgets of a gateway. */
export type RetryBudgets = {
	/** Returns the retry budget of a service and creates it on first use. */
	retryBudgetOf: (service: string) => SharedRetryBudget;
	/** Lends retries to another gateway; none of a service that this gateway has received no request for. */
	lendRetries: (request: RetryLoanRequest) => RetryLoanReply;
};

/**
 * Creates the retry budgets of a gateway.
 *
 * @param options Settings and the components that loans depend on.
 */
export function createRetryBudgets({
	settings: {bounds}, store, eraRecord, members, metrics, logger,
}: RetryBudgetsOptions): RetryBudgets {
	const {name, incarnation} = members.self;
	const windowMilliseconds = bounds.retryWindowSeconds * 1000;
	const lenders = createLenderPort({client: new ExchangeClient(), members, logger});
	const budgets = new Map<string, SharedRetryBudget>();
	const createBudget = (service: string) => new SharedRetryBudget({
		ratio: bounds.retryRatio,
		windowMilliseconds,
		borrower: new SlackBorrower({
			service, holder: `${name}/${incarnation}`, limits: {slack: bounds.retrySlack, windowMilliseconds}, store, eraRecord, logger, readClock, random: Math.random,
		}),
		peers: new PeerBorrower({
			...lenders, service, logger, readClock, random: Math.random,
			count(retries) {
				metrics.lentRetries.inc({service, direction: 'borrowed'}, retries);
			},
		}),
		readClock,
	});
	return {
		retryBudgetOf(service) {
			const budget = budgets.get(service) ?? createBudget(service);
			budgets.set(service, budget);
			return budget;
		},
		lendRetries({service, wanted}) {
			const lent = budgets.get(service)?.lend(wanted) ?? 0;
			metrics.lentRetries.inc({service: budgets.has(service) ? service : 'unknown', direction: 'lent'}, lent / creditsPerRetry);
			return {lent};
		},
	};
}
