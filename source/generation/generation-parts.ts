/**
 * What a generation needs of the router.
 *
 * @module
 */
import {type Accounts} from '../accounts/mod.ts';
import {type RetryBudget, type SuspectMonitor} from '../admission/mod.ts';
import {type EngineClient} from '../endpoints/mod.ts';
import {type Placement} from '../placement/mod.ts';
import {type Logger, type Metrics, type Tracing} from '../telemetry/mod.ts';

/** The router's parts that serve generations. */
export type GenerationParts = {
	accounts: Accounts;
	placement: Placement;
	/** Looks for requests that kill endpoints. */
	suspects: SuspectMonitor;
	/** Limits how many generations start again at once. */
	retries: RetryBudget;
	engines: EngineClient;
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
