/**
 * The calls by which callers and the platform ask a router for entries and for its readiness.
 *
 * @module
 */

/** A call that is not a request to a service. */
export type EntryCall = {kind: 'entries'; availabilityZone: string; region: string} | {kind: 'readiness'};

/**
 * Reads a call.
 *
 * @param method Method of the request.
 * @param target Path and query of the request.
 * @returns The call; `undefined` where it is none.
 */
export function decodeEntryCall(method: string | undefined, target: string): EntryCall | undefined {
	if (method !== 'GET') {
		return undefined;
	}

	const [path, query = ''] = target.split('?', 2);
	if (path === '/api/ready') {
		return {kind: 'readiness'};
	}

	if (path === '/api/resolve') {
		const parameters = new URLSearchParams(query);
		return {kind: 'entries', availabilityZone: parameters.get('zone') ?? '', region: parameters.get('region') ?? ''};
	}

	return undefined;
}

/**
 * Writes the entries that callers may use.
 *
 * @param addresses Addresses, those to prefer first.
 * @param timeToLiveSeconds Time for which callers may keep them, in seconds.
 */
export function encodeEntries(addresses: readonly string[], timeToLiveSeconds: number): string {
	return JSON.stringify({addresses, ttlS: timeToLiveSeconds});
}
