/**
 * Derives the priority that a generation has at its engine.
 *
 * Engines admit the generations that wait for them by priority. It answers the load of a service whose callers ask for more than its engines
 * have room for at the time, so that those who matter more don't wait behind the others.
 *
 * @module
 */
import {type Route, type RoutingConfiguration} from '../routing/mod.ts';

/** Lowest priority that engines know; 0 is the highest. */
const lowestPriority = 9;

/** What the priority of a request depends on. */
export type RankedRequest = {
	/** Name of the service that the request is sent to. */
	service: string;
	/** Priority of the workspace, or of the route if the workspace has none; 0 is the highest. */
	importance: number;
};

/** Ranks of the services of a configuration, by the service's name. */
const ranksOfConfigurations = new WeakMap<RoutingConfiguration, Map<string, readonly number[]>>();

/**
 * Returns the priority of a request at its engine, from 0, the highest, to 9.
 *
 * @param configuration Configuration that the request was admitted by.
 * @param request Service and importance of the request.
 * @returns `undefined` if the service has no engines, or all its requests rank the same, so that engines use their default for all of them.
 * @example
 * ```ts
 * const priority = enginePriority(configuration, {service: 'scribe', importance: 2});
 * ```
 */
export function enginePriority(configuration: RoutingConfiguration, {service, importance}: RankedRequest): number | undefined {
	const ranks = ranksOf(configuration, service);
	return ranks.length > 1 ? Math.min(ranks.filter(rank => rank < importance).length, lowestPriority) : undefined;
}

/** Returns the distinct ranks of the requests to a service's engines. */
function ranksOf(configuration: RoutingConfiguration, service: string): readonly number[] {
	const ranksByService = ranksOfConfigurations.get(configuration) ?? new Map<string, readonly number[]>();
	ranksOfConfigurations.set(configuration, ranksByService);
	let ranks = ranksByService.get(service);
	if (!ranks) {
		const hasEngines = configuration.services.some(({name, engine}) => name === service && engine !== undefined);
		ranks = hasEngines ? computeRanks(configuration, service) : [];
		ranksByService.set(service, ranks);
	}

	return ranks;
}

function computeRanks({routes, workspaces}: RoutingConfiguration, service: string): readonly number[] {
	const ofService = routes.filter(({services}) => services.some(target => target.service === service));
	return [...new Set(ofService.flatMap(route => ranksOfRoute(route, workspaces)))];
}

/** Returns the ranks that requests on a route may have: those of the workspaces, and its own for requests whose workspace has none. */
function ranksOfRoute({priority, anonymous}: Route, workspaces: RoutingConfiguration['workspaces']): number[] {
	const ofWorkspaces = (workspaces ?? []).map(workspace => workspace.priority ?? priority);
	return workspaces === undefined || anonymous ? [priority, ...ofWorkspaces] : ofWorkspaces;
}
