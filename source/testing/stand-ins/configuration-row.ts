/**
 * Configurations as the operator writes them to the store, for gateways before stand-ins.
 *
 * @module
 */

/** Options of {@linkcode configurationRow}. */
export type ConfigurationRowOptions = {
	version: number;
	/** Routes as the operator spells them. */
	routes: Array<Record<string, unknown>>;
	/** Keys of each workspace. */
	keys: Record<string, string[]>;
	/** Names of the plain services; the generating one is `scribe`. */
	plainServices: string[];
	/** Connections that one endpoint takes. */
	connections: number;
	/** Largest body of a request, in bytes. Default 100,000. */
	bodyBytes?: number;
};

/**
 * Writes a configuration.
 *
 * @param options Its parts.
 */
export function configurationRow({
	version, routes, keys, plainServices, connections, bodyBytes = 100_000,
}: ConfigurationRowOptions): Record<string, unknown> {
	const service = {healthPath: '/health', maxConnections: connections};
	return {
		version,
		routes,
		services: [
			{
				name: 'scribe',
				...service,
				engine: {
					slots: 64, kvCapacity: 88_000, backups: true, handleS: 4,
				},
			},
			...plainServices.map(name => ({name, ...service})),
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: bodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: Object.entries(keys).map(([name, apiKeys]) => ({name, apiKeys})),
	};
}
