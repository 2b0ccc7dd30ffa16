/**
 * What an operator configures: routes, services and workspaces.
 *
 * @module
 */

/** What may be repeated: `idempotent` calls freely, `at-most-once` calls never, `generation` streams where they may be resumed. */
export type RequestKind = 'idempotent' | 'at-most-once' | 'generation';

/** A service that a route leads to, and its share of the route's requests. */
export type WeightedService = {service: string; weight: number};

/** One route: requests of a host whose path begins with a prefix. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RequestKind;
	/** Longest time for which a caller is kept waiting, in milliseconds. */
	timeoutMilliseconds: number;
	/** Time within which an answer is on time, in milliseconds; for a generation, up to its first event. */
	targetMilliseconds: number;
	/** Rank; 0 is the most urgent. */
	priority: number;
	services: readonly WeightedService[];
	/** Endpoints to which one request may be sent at most. */
	maximumAttempts: number;
	/** Whether requests without a key are served. */
	anonymous: boolean;
	/** Whether a generation may go on at another endpoint after its last event. */
	resumable: boolean;
	/** Longest pause between events of an answer that is on time, in milliseconds. */
	eventPauseMilliseconds: number;
};

/** What an operator says of a model service's engines. */
export type EngineFacts = {
	/** Requests that one engine works on at once. */
	slots: number;
	/** Tokens that an engine's memory holds. */
	memoryTokens: number;
	/** Whether an engine sends a running request's memory to another one as it grows. */
	backups: boolean;
	/** Time for which a copy is kept after its last part, in milliseconds. */
	copyMilliseconds: number;
};

/** One service. */
export type Service = {
	name: string;
	healthPath: string;
	/** Connections that one endpoint accepts from all routers together. */
	connectionsPerEndpoint: number;
	/** Present for services of model engines. */
	engine: EngineFacts | undefined;
};

/** A workspace and its keys. */
export type Workspace = {
	name: string;
	keys: readonly string[];
	/** Rank that goes before the route's; 0 is the most urgent. */
	priority: number | undefined;
};

/** Bounds of callers' requests and connections. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	headerMilliseconds: number;
	idleMilliseconds: number;
};

/** One version of the whole configuration. */
export type RoutingConfiguration = {
	version: number;
	routes: readonly Route[];
	services: readonly Service[];
	/** Absent where no keys are asked for. */
	workspaces: readonly Workspace[] | undefined;
	limits: CallerLimits;
};
