/**
 * Builds what calls to plain services need from the router's other parts.
 *
 * @module
 */
import {
	ClaimStore, RecentLatency, RetryBudget, type CallParts,
} from '../calls/mod.ts';
import {PooledServiceClient} from '../endpoints/mod.ts';
import {type CallerParts} from './caller-context.ts';

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
	return {
		placement,
		tracing,
		logger,
		clock,
		wallClock,
		random,
		serviceClient: new PooledServiceClient(),
		claims: new ClaimStore({platform, clock, random}),
		retryBudget: new RetryBudget({share: settings.admission.retryShare}),
		recentLatency: new RecentLatency(),
		incarnation: identity.incarnation,
		track: () => leaving.track(),
	};
}
