/**
 * Decodes the operator's configuration as it lies in the store.
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

/** Table of what the operator writes. */
export const operatorTable = 'op';

/** Key of the configuration within {@linkcode operatorTable}. */
export const configurationKey = 'config';

const kinds: Record<string, RequestKind> = {idempotent: 'idempotent', non_idempotent: 'at-most-once', stream: 'generation'};

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.string(),
	timeoutMs: z.number().positive(),
	targetLatencyMs: z.number().nonnegative().nullish(),
	priority: z.number().nullish(),
	/** The one service of a route that is not divided. */
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
	/** In seconds. */
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

/** Limits where the operator names none. */
const defaultLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 3000, idleMilliseconds: 15_000,
};

/** Rank of a route that names none. */
const defaultPriority = 5;

/**
 * Decodes one version of the configuration.
 *
 * @param content Content of the row.
 * @returns The configuration, or what is wrong with it.
 * @example
 * ```ts
 * const configuration = decodeConfiguration(row.content);
 * ```
 */
export function decodeConfiguration(content: Uint8Array): Result<RoutingConfiguration, string> {
	const checked = configurationSchema.safeParse(parseJson(content));
	if (!checked.success) {
		return err(checked.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; '));
	}

	const {version, routes, services, tenants, limits} = checked.data;
	const unknownKind = routes.find(route => kinds[route.kind] === undefined);
	if (unknownKind) {
		return err(`route ${unknownKind.name}: the kind "${unknownKind.kind}" is not known`);
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
	const single = typeof route.service === 'string' ? [{service: route.service, weight: 1}] : [];
	return {
		name: route.name,
		host: route.host,
		pathPrefix: route.prefix,
		kind: kinds[route.kind]!,
		timeoutMilliseconds: route.timeoutMs,
		targetMilliseconds: route.targetLatencyMs ?? route.timeoutMs,
		priority: route.priority ?? defaultPriority,
		services: route.backends ?? single,
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
