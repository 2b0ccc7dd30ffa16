/**
 * Prometheus metrics of a router.
 *
 * @module
 */
import {
	Counter, Gauge, Histogram, Registry, collectDefaultMetrics,
} from 'prom-client';

/** Bucket bounds of durations up to the recovery target, in seconds. */
const secondsBuckets = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30];

/**
 * Creates the metrics of one router, in a separate registry.
 *
 * @returns The registry and all metrics.
 * @example
 * ```ts
 * const metrics = createMetrics();
 * metrics.tokensDelivered.inc({service: 'briefs'});
 * ```
 */
export function createMetrics() {
	const registry = new Registry();
	collectDefaultMetrics({register: registry});
	const registers = [registry];
	return {
		registry,
		requests: new Counter({
			name: 'azuretack_requests_total', help: 'Requests by service and outcome code.', labelNames: ['service', 'outcome'], registers,
		}),
		liveGenerations: new Gauge({
			name: 'azuretack_live_generations', help: 'Generations with a connected caller.', registers,
		}),
		tokensDelivered: new Counter({
			name: 'azuretack_delivered_tokens_total', help: 'Tokens sent to callers.', labelNames: ['service'], registers,
		}),
		extraTokens: new Counter({
			name: 'azuretack_extra_tokens_total', help: 'Tokens of prefill and decode beyond an undisturbed run.', labelNames: ['service', 'work'], registers,
		}),
		attempts: new Counter({
			name: 'azuretack_attempts_total', help: 'Attempts of generations by how they ended.', labelNames: ['service', 'end'], registers,
		}),
		permits: new Counter({
			name: 'azuretack_permits_total', help: 'Permits for limited endpoints that this router requested, by outcome: granted, late if granted after the request had gone elsewhere, refused, or unknown if no router that grants them answered.', labelNames: ['outcome'], registers,
		}),
		resumeLatency: new Histogram({
			name: 'azuretack_resume_latency_seconds', help: 'Time from the last token before a loss until the next token.', labelNames: ['service'], buckets: secondsBuckets, registers,
		}),
		timeToFirstToken: new Histogram({
			name: 'azuretack_first_token_seconds', help: 'Time from a request to its first token.', labelNames: ['service'], buckets: secondsBuckets, registers,
		}),
		configurationVersion: new Gauge({
			name: 'azuretack_configuration_version', help: 'Version of the configuration in force.', registers,
		}),
		platformRequests: new Counter({
			name: 'azuretack_platform_requests_total', help: 'Requests to the platform by operation and outcome.', labelNames: ['operation', 'outcome'], registers,
		}),
		platformBytes: new Counter({
			name: 'azuretack_platform_bytes_total', help: 'Bytes of bodies sent to and received from the platform.', registers,
		}),
		endpointBytes: new Counter({
			name: 'azuretack_endpoint_control_bytes_total', help: 'Bytes of bodies of load reads, cache events, cancels and orders.', registers,
		}),
		peerBytes: new Counter({
			name: 'azuretack_peer_bytes_total', help: 'Bytes of messages sent to peers.', registers,
		}),
	};
}

/** The metrics of one router. */
export type Metrics = ReturnType<typeof createMetrics>;
