/**
 * Prometheus metrics of a gateway.
 *
 * @module
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Bucket bounds of durations, in seconds. */
const secondsBuckets = [0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30];

/**
 * Creates the metrics of one gateway, in a separate registry.
 *
 * @example
 * ```ts
 * const metrics = createGatewayMetrics();
 * metrics.requests.inc({service: 'desk', outcome: 'answered'});
 * ```
 */
export function createGatewayMetrics() {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		requests: new Counter({
			name: 'azuretack_gateway_requests_total', help: 'Requests by service and outcome.', labelNames: ['service', 'outcome'], registers,
		}),
		attempts: new Counter({
			name: 'azuretack_gateway_attempts_total', help: 'Requests sent to endpoints, by service.', labelNames: ['service'], registers,
		}),
		retries: new Counter({
			name: 'azuretack_gateway_retries_total', help: 'Decisions of the retry budget by service, reason of the retry and decision.', labelNames: ['service', 'reason', 'decision'], registers,
		}),
		lentRetries: new Counter({
			name: 'azuretack_gateway_lent_retries_total', help: 'Retries lent to and borrowed from other gateways by service and direction: lent or borrowed. A part of a retry counts as such.', labelNames: ['service', 'direction'], registers,
		}),
		callerBytes: new Gauge({
			name: 'azuretack_gateway_caller_bytes', help: 'Bytes that callers make the process hold, by kind: bodies, heads, unread or uncollected.', labelNames: ['kind'], registers,
		}),
		waitingReads: new Gauge({
			name: 'azuretack_gateway_waiting_reads', help: 'Connections of callers that wait for a turn to be read.', registers,
		}),
		collections: new Counter({
			name: 'azuretack_gateway_collections_total', help: 'Garbage collections since callers had made the process give up much memory, by kind: minor or full.', labelNames: ['kind'], registers,
		}),
		closedConnections: new Counter({
			name: 'azuretack_gateway_closed_connections_total', help: 'Connections of callers that were closed before a response was complete, or by the gateway between two requests, by reason: caller, broken-off, left-open, invalid-request, timeout, idle, no-room, too-large, too-many-requests, stopped, connection-error or unknown.', labelNames: ['reason'], registers,
		}),
		endpointRequests: new Counter({
			name: 'azuretack_gateway_endpoint_requests_total', help: 'Requests and load queries sent to endpoints over connections that are kept, by connection: new or reused.', labelNames: ['connection'], registers,
		}),
		lostAttempts: new Counter({
			name: 'azuretack_gateway_lost_attempts_total', help: 'Lost attempts by service and state of the endpoint: ended, lives or unknown.', labelNames: ['service', 'fate'], registers,
		}),
		suspects: new Counter({
			name: 'azuretack_gateway_suspected_requests_total', help: 'Decisions on requests and prompt parts under which endpoints crash: counted, refused, trial, cleared or proven.', labelNames: ['decision'], registers,
		}),
		endpointSignals: new Counter({
			name: 'azuretack_gateway_endpoint_signals_total', help: 'First announcements of an endpoint that it leaves or requests backoff, by service.', labelNames: ['service', 'signal'], registers,
		}),
		limitedRequests: new Counter({
			name: 'azuretack_gateway_limited_requests_total', help: 'Requests that were sent to another endpoint (diverted) or rejected since endpoints have reached the limits that they name, by service.', labelNames: ['service', 'decision'], registers,
		}),
		permits: new Counter({
			name: 'azuretack_gateway_permits_total', help: 'Permits for limited endpoints that this gateway requested, by outcome: granted, late if granted after the request had gone elsewhere, refused, or unknown if no gateway that grants them answered.', labelNames: ['outcome'], registers,
		}),
		earlyRequests: new Counter({
			name: 'azuretack_gateway_early_requests_total', help: 'Requests that arrived before the initial state was known, by outcome: released once it was, timeout if it came too late for them, full or over if they could not be held, disconnected.', labelNames: ['outcome'], registers,
		}),
		returns: new Counter({
			name: 'azuretack_gateway_resumed_generations_total', help: 'Generations that their callers resume, by service and whether an engine keeps most of the prompt (found) or not (missing).', labelNames: ['service', 'prompt'], registers,
		}),
		rolloutAnswers: new Counter({
			name: 'azuretack_gateway_rollout_answers_total', help: 'Answers during roll-outs by service, version (serving or trial) and outcome (good or failed).', labelNames: ['service', 'version', 'outcome'], registers,
		}),
		answerSeconds: new Histogram({
			name: 'azuretack_gateway_answer_seconds', help: 'Time from a request to the end of its answer.', labelNames: ['service'], buckets: secondsBuckets, registers,
		}),
		storeCalls: new Counter({
			name: 'azuretack_gateway_store_calls_total', help: 'Calls to the store by operation and outcome.', labelNames: ['operation', 'outcome'], registers,
		}),
		storeBytes: new Counter({
			name: 'azuretack_gateway_store_bytes_total', help: 'Bytes of responses received from the store.', registers,
		}),
		configurationVersion: new Gauge({
			name: 'azuretack_gateway_configuration_version', help: 'Version of the configuration in force.', registers,
		}),
		liveGateways: new Gauge({
			name: 'azuretack_gateway_live_gateways', help: 'Gateways with a recent update, including this one.', registers,
		}),
	};
}

/** The metrics of one gateway. */
export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;
