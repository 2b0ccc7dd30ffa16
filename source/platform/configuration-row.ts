/**
 * Decodes the operator's configuration from its row in the store.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {
	type RequestKind, type Route, type RoutingConfiguration, type Service,
} from '../routing/mod.ts';
import {parseJson} from './http-call.ts';

/** Table that the operator writes. */
export const operatorTable = 'op';

/** Key of the configuration row in {@linkcode operatorTable}. */
export const configurationKey = 'config';

const requestKinds: Record<string, RequestKind> = {idempotent: 'idempotent', non_idempotent: 'at-most-once', stream: 'generation'};

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.string(),
	timeoutMs: z.number().positive(),
	targetLatencyMs: z.number().nonnegative().nullish(),
	priority: z.number().nullish(),
	/** The only service of a route without weighted back ends. */
	service: z.string().nullish(),
	backends: z.array(z.object({service: z.string(), weight: z.number().nonnegative()})).nullish(),
	maxAttempts: z.number().int().positive().nullish(),
	allowAnonymous: z.boolean().nullish(),
	resumable: z.boolean().nullish(),
	gapAimMs: z.number().nonnegative().nullish(),
});

const engineSchema = z.object({
	slots: z.number().positive(),
	kvCapacity: z.number().positive(),
	backups: z.boolean().nullish(),
	/** Time for which a copy is kept after its last part arrived, in seconds. */
	handleS: z.number().nonnegative().nullish(),
});

const serviceSchema = z.object({
	name: z.string(),
	healthPath: z.string().nullish(),
	maxConnections: z.number().positive().nullish(),
	engine: engineSchema.nullish(),
});

const workspaceSchema = z.object({name: z.string(), apiKeys: z.array(z.string()), priority: z.number().nullish()});

const configurationSchema = z.object({
	version: z.number(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	tenants: z.array(workspaceSchema).nullish(),
	limits: z.object({
		maxHeaderBytes: z.number().positive().nullish(),
		maxBodyBytes: z.number().positive().nullish(),
		headerTimeoutMs: z.number().positive().nullish(),
		idleTimeoutMs: z.number().positive().nullish(),
	}).nullish(),
});

/** Limits that apply unless the operator sets them. */
const defaultLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 3000, idleMilliseconds: 15_000,
};

/** Priority of a route without one. */
const defaultPriority = 5;

/**
 * Decodes one version of the configuration.
 *
 * @param content Content of the row.
 * @returns The configuration, or a description of its faults.
 * @example
 * ```ts
 * const configuration = decodeConfiguration(row.content);
 * ```
 */
export function decodeConfiguration(content: Uint8Array): Result<RoutingConfiguration, string> {
	const parsed = configurationSchema.safeParse(parseJson(content));
	if (!parsed.success) {
		return err(parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; '));
	}

	const {version, routes, services, tenants, limits} = parsed.data;
	const unknownKind = routes.find(route => requestKinds[route.kind] === undefined);
	if (unknownKind) {
		return err(`route ${unknownKind.name}: unknown kind "${unknownKind.kind}"`);
	}

	return ok({
		version,
		routes: routes.map(route => toRoute(route)),
		services: services.map(service => toService(service)),
		workspaces: tenants?.map(({name, apiKeys, priority}) => ({name, keys: apiKeys, priority: priority ?? undefined})),
		limits: {
			headerBytes: limits?.maxHeaderBytes ?? defaultLimits.headerBytes,
			bodyBytes: limits?.maxBodyBytes ?? defaultLimits.bodyBytes,
			headerMilliseconds: limits?.headerTimeoutMs ?? defaultLimits.headerMilliseconds,
			idleMilliseconds: limits?.idleTimeoutMs ?? defaultLimits.idleMilliseconds,
		},
	});
}

function toRoute(route: z.output<typeof routeSchema>): Route {
	const singleService = typeof route.service === 'string' ? [{service: route.service, weight: 1}] : [];
	return {
		name: route.name,
		host: route.host,
		pathPrefix: route.prefix,
		kind: requestKinds[route.kind]!,
		timeoutMilliseconds: route.timeoutMs,
		targetMilliseconds: route.targetLatencyMs ?? route.timeoutMs,
		priority: route.priority ?? defaultPriority,
		services: route.backends ?? singleService,
		maximumAttempts: route.maxAttempts ?? 1,
		anonymous: route.allowAnonymous === true,
		resumable: route.resumable === true,
		eventPauseMilliseconds: route.gapAimMs ?? route.timeoutMs,
	};
}

function toService({name, healthPath, maxConnections, engine}: z.output<typeof serviceSchema>): Service {
	return {
		name,
		healthPath: healthPath ?? '/health',
		connectionsPerEndpoint: maxConnections ?? Number.MAX_SAFE_INTEGER,
		engine: engine
			? {
				slots: engine.slots, memoryTokens: engine.kvCapacity, backups: engine.backups === true, copyMilliseconds: (engine.handleS ?? 0) * 1000,
			}
			: undefined,
	};
}
