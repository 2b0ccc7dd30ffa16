/**
 * Components of the gateway that forwarding uses.
 *
 * @module
 */
import {type EndpointHealth, type EndpointLoads, type EndpointBackoff} from '../balancing/mod.ts';
import {type EndpointList} from '../beliefs/mod.ts';
import {type EndpointLimiter} from '../limits/mod.ts';
import {type SharedRetryBudget} from '../retries/mod.ts';
import {type GatewaySubsets} from '../subsets/mod.ts';
import {type SuspectedRequests} from '../suspects/mod.ts';
import {type Features} from '../settings/features.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type CallerConnections} from './caller-connections.ts';
import {type EndpointConnections} from './endpoint-connections.ts';
import {type ResponseBuffers} from './response-buffers.ts';
import {type CrashDetector} from './crash-detector.ts';

/** Components shared by all requests. */
export type ForwardingDependencies = {
	endpoints: EndpointList;
	/** Which endpoints of plain services this gateway uses. */
	subsets: GatewaySubsets;
	loads: EndpointLoads;
	health: EndpointHealth;
	backoff: EndpointBackoff;
	limiter: EndpointLimiter;
	connections: EndpointConnections;
	callerConnections: CallerConnections;
	responseBuffers: ResponseBuffers;
	crashDetector: CrashDetector;
	suspects: SuspectedRequests;
	/** Parts that the deployment asks for. */
	features: Features;
	logger: Logger;
	/** Availability zone of this gateway. */
	availabilityZone: string;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
	random: () => number;
	/** Returns the retry budget of a service. */
	retryBudgetOf(service: string): SharedRetryBudget;
	/** Counts a leaving or backoff signal from an endpoint. */
	countSignal(service: string, signal: 'leaving' | 'backoff'): void;
	/** Counts a request that was sent elsewhere or rejected since endpoints lack permits. */
	countLimited(service: string, decision: 'diverted' | 'rejected'): void;
	/** Counts a generation that its caller resumes, by whether an engine that keeps its prompt was found. */
	countReturn(service: string, prompt: 'found' | 'missing'): void;
	/** Counts a decision of the retry budget. */
	countRetry(service: string, reason: string, allowed: boolean): void;
};
