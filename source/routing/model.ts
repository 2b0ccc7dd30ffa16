/**
 * What an operator configures: routes, services and workspaces.
 *
 * @module
 */
import * as z from 'zod';

/** What may be repeated: `idempotent` calls freely, `at-most-once` calls never, `generation` streams where they may be resumed. */
export const requestKindSchema = z.enum(['idempotent', 'at-most-once', 'generation']);

/** One route: requests of a host whose path begins with a prefix. */
export const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	/** Begins and ends with a slash. */
	pathPrefix: z.string(),
	kind: requestKindSchema,
	/** Longest time for which a caller is kept waiting, in milliseconds. */
	timeoutMilliseconds: z.number(),
	/** Time within which an answer is on time, in milliseconds; for a generation, up to its first event. */
	targetMilliseconds: z.number(),
	/** Rank; 0 is the most urgent. */
	priority: z.number(),
	/** Services that the route leads to, and the share of its requests that each gets. */
	services: z.array(z.object({service: z.string(), weight: z.number()})),
	/** Endpoints to which one request may be sent at most. */
	maximumAttempts: z.number(),
	/** Whether requests without a key are served. */
	anonymous: z.boolean(),
	/** Whether a generation may go on at another endpoint after its last event. */
	resumable: z.boolean(),
	/** Longest pause between events of an answer that is on time, in milliseconds. */
	eventPauseMilliseconds: z.number(),
});

/** One service. */
export const serviceSchema = z.object({
	name: z.string(),
	healthPath: z.string(),
	/** Connections that one endpoint accepts from all routers together. */
	connectionsPerEndpoint: z.number(),
	/** Present for services of model engines. */
	engine: z.object({
		/** Requests that one engine works on at once. */
		slots: z.number(),
		/** Tokens that an engine's memory holds. */
		memoryTokens: z.number(),
		/** Whether an engine sends a running request's memory to another one as it grows. */
		backups: z.boolean(),
		/** Time for which a copy is kept after its last part, in milliseconds. */
		copyMilliseconds: z.number(),
	}).optional(),
});

/** A workspace and its keys. */
export const workspaceSchema = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	/** Rank that goes before the route's; 0 is the most urgent. */
	priority: z.number().optional(),
});

/** One version of the whole configuration. */
export const routingConfigurationSchema = z.object({
	version: z.number(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	/** Absent where no keys are asked for. */
	workspaces: z.array(workspaceSchema).optional(),
	/** Bounds of callers' requests and connections. */
	limits: z.object({
		headerBytes: z.number(),
		bodyBytes: z.number(),
		headerMilliseconds: z.number(),
		idleMilliseconds: z.number(),
	}),
});

/** What may be repeated. */
export type RequestKind = z.output<typeof requestKindSchema>;

/** One route. */
export type Route = z.output<typeof routeSchema>;

/** One service. */
export type Service = z.output<typeof serviceSchema>;

/** A workspace and its keys. */
export type Workspace = z.output<typeof workspaceSchema>;

/** One version of the whole configuration. */
export type RoutingConfiguration = z.output<typeof routingConfigurationSchema>;
