/**
 * Components of the router that generations use.
 *
 * @module
 */
import {type WorkspaceUsage} from '../accounts/mod.ts';
import {type RetryBudget, type SuspectMonitor} from '../admission/mod.ts';
import {type EngineClient} from '../endpoints/mod.ts';
import {type EndpointLimiter} from '../limits/mod.ts';
import {type Placement} from '../placement/mod.ts';
import {type Logger, type Metrics, type Tracing} from '../telemetry/mod.ts';

/** Components that serve generations. */
export type GenerationParts = {
	accounts: WorkspaceUsage;
	placement: Placement;
	/** Detects requests that crash endpoints. */
	suspects: SuspectMonitor;
	/** Limits the rate at which generations are restarted on other endpoints. */
	retries: RetryBudget;
	engines: EngineClient;
	/** Keeps the limits that endpoints name. */
	limiter: EndpointLimiter;
	metrics: Metrics;
	tracing: Tracing;
	logger: Logger;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};
