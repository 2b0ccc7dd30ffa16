/**
 * Creates the components for calls to plain services.
 *
 * @module
 */
import {RetryBudget} from '../admission/mod.ts';
import {ClaimStore, RecentLatency, type CallParts} from '../calls/mod.ts';
import {PooledServiceClient} from '../endpoints/mod.ts';
import {type CallerParts} from './caller-context.ts';

/** Maximum number of unused retries and hedges that a service's retry budget accumulates. */
const retryBudgetCapacity = 10;

/**
 * Creates the components for calls to plain services.
 *
 * @param parts The router's other components.
 * @example
 * ```ts
 * const calls = createCallParts(parts);
 * ```
 */
export function createCallParts(parts: Omit<CallerParts, 'calls'>): CallParts {
	const {placement, limiter, tracing, logger, clock, wallClock, random, platform, settings, shutdown, identity} = parts;
	const budgets = new Map<string, RetryBudget>();
	return {
		placement,
		limiter,
		tracing,
		logger,
		clock,
		wallClock,
		random,
		serviceClient: new PooledServiceClient(),
		claims: new ClaimStore({platform, clock, random}),
		retryBudgetOf(service) {
			const budget = budgets.get(service) ?? new RetryBudget({ratio: settings.admission.retryShare, capacity: retryBudgetCapacity, perSecond: 0});
			budgets.set(service, budget);
			return budget;
		},
		recentLatency: new RecentLatency(),
		incarnation: identity.incarnation,
		track: () => shutdown.trackRequest(),
	};
}
