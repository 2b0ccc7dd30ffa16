/**
 * Configurations as the operator writes them.
 */

/** Host of all routes. */
export const host = 'desk.example';

/** Routes as on the sheet of the site brushwake. */
export const routes = {
	draft: {
		name: 'draft',
		host,
		prefix: '/drafts/',
		kind: 'stream',
		timeoutMs: 25_000,
		targetLatencyMs: 4500,
		gapAimMs: 700,
		priority: 1,
		service: 'scribe',
		maxAttempts: 5,
		resumable: true,
		stickySessions: true,
	},
	deposit: {
		name: 'deposit',
		host,
		prefix: '/deposits/',
		kind: 'non_idempotent',
		timeoutMs: 800,
		targetLatencyMs: 100,
		priority: 2,
		service: 'desk',
		maxAttempts: 1,
	},
	status: {
		name: 'status',
		host,
		prefix: '/status/',
		kind: 'idempotent',
		timeoutMs: 800,
		targetLatencyMs: 100,
		priority: 2,
		service: 'desk',
		maxAttempts: 2,
	},
};

/** Returns a configuration with one tenant. */
export function configuration({version, keys, routes: chosen = Object.values(routes)}) {
	return {
		version,
		routes: chosen,
		services: [
			{
				name: 'scribe',
				healthPath: '/health',
				maxConnections: 720,
				engine: {slots: 64, kvCapacity: 88_000},
			},
			{name: 'desk', healthPath: '/health', maxConnections: 200},
		],
		limits: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 4_194_304,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'commission-desk', apiKeys: keys}],
	};
}
