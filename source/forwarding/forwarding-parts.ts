/**
 * What forwarding needs from the router's other parts.
 *
 * @module
 */
import {type EndpointHealth, type EndpointLoads, type EndpointBackoff} from '../balancing/mod.ts';
import {type EndpointList} from '../beliefs/mod.ts';
import {type SharedRetryBudget} from '../retries/mod.ts';
import {type SuspectedRequests} from '../suspects/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type EndpointConnections} from './endpoint-connections.ts';
import {type HeldAnswers} from './held-answers.ts';
import {type LostAttempts} from './lost-attempts.ts';

/** Parts shared by all requests. */
export type ForwardingParts = {
	endpoints: EndpointList;
	loads: EndpointLoads;
	health: EndpointHealth;
	backoff: EndpointBackoff;
	connections: EndpointConnections;
	heldAnswers: HeldAnswers;
	lostAttempts: LostAttempts;
	suspects: SuspectedRequests;
	logger: Logger;
	/** Zone of this router. */
	availabilityZone: string;
	/** Steady time, in milliseconds. */
	clock: () => number;
	random: () => number;
	/** Budget of retries of a service. */
	retryBudgetOf(service: string): SharedRetryBudget;
	/** Counts an endpoint that says that it leaves or asks to back off. */
	countSignal(service: string, signal: 'leaving' | 'backoff'): void;
	/** Counts a decision on a retry. */
	countRetry(service: string, reason: string, allowed: boolean): void;
};
