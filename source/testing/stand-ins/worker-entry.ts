/**
 * What worker stand-ins write to the store about themselves.
 *
 * @module
 */

/** Options of {@linkcode workerEntry}. */
export type WorkerEntryOptions = {
	service: string;
	/** `address:port` at which gateways reach it. */
	address: string;
	/** Default `zone-a`. */
	zone?: string;
	/** Default `ready`. */
	state?: 'ready' | 'draining';
	/** Start of its process, in Unix milliseconds. */
	startedAt: number;
	/** Version of its software. Default `v1`. */
	version?: string;
};

/** Returns the content of a worker's row. */
export function workerEntry({
	service, address, zone = 'zone-a', state = 'ready', startedAt, version = 'v1',
}: WorkerEntryOptions): Record<string, unknown> {
	return {
		service, address, zone, version, slots: 8, state, sequence: 1, coldRemainingMs: 0, born: startedAt,
	};
}
