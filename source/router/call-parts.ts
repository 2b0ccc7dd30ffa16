/**
 * Builds what calls to plain services need from the router's other parts.
 *
 * @module
 */
import {RetryBudget} from '../admission/mod.ts';
import {ClaimStore, RecentLatency, type CallParts} from '../calls/mod.ts';
import {PooledServiceClient} from '../endpoints/mod.ts';
import {type CallerParts} from './caller-context.ts';

/** Retries and hedges that a service may save up. */
const savedRetries = 10;

/**
 * Creates the parts of calls.
 *
 * @param parts The router's other parts.
 * @example
 * ```ts
 * const calls = createCallParts(parts);
 * ```
 */
export function createCallParts(parts: Omit<CallerParts, 'calls'>): CallParts {
	const {placement, tracing, logger, clock, wallClock, random, platform, settings, leaving, identity} = parts;
	const budgets = new Map<string, RetryBudget>();
	return {
		placement,
		tracing,
		logger,
		clock,
		wallClock,
		random,
		serviceClient: new PooledServiceClient(),
		claims: new ClaimStore({platform, clock, random}),
		retryBudgetOf(service) {
			const budget = budgets.get(service) ?? new RetryBudget({ratio: settings.admission.retryShare, capacity: savedRetries, perSecond: 0});
			budgets.set(service, budget);
			return budget;
		},
		recentLatency: new RecentLatency(),
		incarnation: identity.incarnation,
		track: () => leaving.track(),
	};
}
