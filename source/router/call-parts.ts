/**
 * Builds what calls to plain services need from the router's other parts.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {
	ClaimStore, RecentLatency, RetryBudget, type CallParts,
} from '../calls/mod.ts';
import {PooledServiceClient} from '../endpoints/mod.ts';
import {type CallerParts} from './caller-context.ts';

/**
 * Creates the parts of calls, with a new incarnation of this router.
 *
 * @param parts The router's other parts.
 * @example
 * ```ts
 * const calls = createCallParts(parts);
 * ```
 */
export function createCallParts(parts: Omit<CallerParts, 'calls'>): CallParts {
	const {placement, tracing, logger, clock, wallClock, random, platform, settings, leaving} = parts;
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
		incarnation: `${settings.hostName}/${randomUUID()}`,
		track: () => leaving.track(),
	};
}
