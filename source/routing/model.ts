/**
 * The schemas of the configuration: routes, services and workspaces.
 *
 * @module
 */
import * as z from 'zod';

/** Retry semantics of a request: `idempotent` calls may be retried, `at-most-once` calls must not run twice, `generation` streams may be resumed if their route allows it. */
export const requestKindSchema = z.enum(['idempotent', 'at-most-once', 'generation']);

/** A route: requests to a host whose path starts with a prefix. */
export const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	/** Starts and ends with a slash. */
	pathPrefix: z.string(),
	kind: requestKindSchema,
	/** Timeout of a request, in milliseconds. */
	timeoutMilliseconds: z.number(),
	/** Target latency, in milliseconds; for a generation, the latency of its first event. */
	targetMilliseconds: z.number(),
	/** Priority; 0 is the highest. */
	priority: z.number(),
	/** Services that the route forwards to; requests are divided among them in proportion to the weights. */
	services: z.array(z.object({service: z.string(), weight: z.number()})),
	/** Maximum number of endpoints to which one request may be sent. */
	maximumAttempts: z.number(),
	/** Whether requests without a key are served. */
	anonymous: z.boolean(),
	/** Whether a generation may be resumed at another endpoint after the last event that was sent. */
	resumable: z.boolean(),
	/** Maximum pause between events of a stream that meets its target, in milliseconds. */
	eventPauseMilliseconds: z.number(),
});

/** A service. */
export const serviceSchema = z.object({
	name: z.string(),
	healthPath: z.string(),
	/** Maximum number of connections to one endpoint from all routers together. */
	connectionsPerEndpoint: z.number(),
	/** Present if the endpoints of the service are model engines. */
	engine: z.object({
		/** Number of requests that one engine runs concurrently. */
		slots: z.number(),
		/** Capacity of an engine's KV cache, in tokens. */
		memoryTokens: z.number(),
		/** Whether an engine copies the KV cache of a running request to another engine as it grows. */
		backups: z.boolean(),
		/** Time for which a copy is kept after its last part arrived, in milliseconds. */
		copyMilliseconds: z.number(),
	}).optional(),
});

/** A workspace and its keys. */
export const workspaceSchema = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	/** Priority that overrides that of the route; 0 is the highest. */
	priority: z.number().optional(),
});

/** One version of the whole configuration. */
export const routingConfigurationSchema = z.object({
	version: z.number(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	/** Absent if requests need no key. */
	workspaces: z.array(workspaceSchema).optional(),
	/** Limits on requests and connections of callers. */
	limits: z.object({
		headerBytes: z.number(),
		bodyBytes: z.number(),
		headerMilliseconds: z.number(),
		idleMilliseconds: z.number(),
	}),
});

/** Retry semantics of a request. */
export type RequestKind = z.output<typeof requestKindSchema>;

/** A route. */
export type Route = z.output<typeof routeSchema>;

/** A service. */
export type Service = z.output<typeof serviceSchema>;

/** A workspace and its keys. */
export type Workspace = z.output<typeof workspaceSchema>;

/** One version of the whole configuration. */
export type RoutingConfiguration = z.output<typeof routingConfigurationSchema>;
