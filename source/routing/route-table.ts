/**
 * Looks up the route, service and workspace of a request in one version of the configuration.
 *
 * @module
 */
import {
	type Route, type RoutingConfiguration, type Service, type Workspace,
} from './model.ts';

/**
 * One version of the configuration, indexed for lookups.
 *
 * @example
 * ```ts
 * const table = new RouteTable(configuration);
 * const route = table.findRoute('desk.example', '/deposits/17');
 * ```
 */
export class RouteTable {
	readonly configuration: RoutingConfiguration;
	readonly #routesByHost = new Map<string, Route[]>();
	readonly #services: Map<string, Service>;
	readonly #workspacesByKey = new Map<string, Workspace>();

	constructor(configuration: RoutingConfiguration) {
		this.configuration = configuration;
		this.#services = new Map(configuration.services.map(service => [service.name, service]));
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const routes = this.#routesByHost.get(host) ?? [];
			routes.push(route);
			this.#routesByHost.set(host, routes);
		}

		for (const routes of this.#routesByHost.values()) {
			routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}

		for (const workspace of configuration.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspacesByKey.set(key, workspace);
			}
		}
	}

	/** Version of the configuration. */
	get version(): number {
		return this.configuration.version;
	}

	/** Whether requests need a key, except on anonymous routes. */
	get requiresKeys(): boolean {
		return this.configuration.workspaces !== undefined;
	}

	/**
	 * Returns the route with the longest prefix of the path.
	 *
	 * @param host Value of the request's `Host` header; a port is ignored.
	 * @param path Path of the request, with or without a query.
	 */
	findRoute(host: string, path: string): Route | undefined {
		const name = host.replace(/:\d+$/v, '').toLowerCase();
		return this.#routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
	}

	/** Returns the service with a name. */
	findService(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Returns the workspace that a key belongs to. */
	findWorkspace(key: string): Workspace | undefined {
		return this.#workspacesByKey.get(key);
	}
}

/**
 * Selects the service for a request by weighted random choice.
 *
 * @param route The route.
 * @param random Number from 0 to 1, exclusive.
 * @returns Name of the service; `undefined` if the route has no services.
 */
export function selectService(route: Route, random: number): string | undefined {
	const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random * total;
	for (const {service, weight} of route.services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return route.services.at(-1)?.service;
}
