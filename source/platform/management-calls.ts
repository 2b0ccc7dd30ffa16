/**
 * Calls that a gateway answers itself: discovery of entry addresses for callers, and the platform's readiness probe.
 *
 * @module
 */

/** A call that is answered by the gateway instead of a service. */
export type ManagementCall = {kind: 'entries'; availabilityZone: string; region: string} | {kind: 'readiness'};

/**
 * Decodes a management call.
 *
 * @param method Method of the request.
 * @param target Path and query of the request.
 * @returns The call, or `undefined` if the request is not a management call.
 */
export function decodeManagementCall(method: string | undefined, target: string): ManagementCall | undefined {
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
 * Encodes the entry addresses that callers may use.
 *
 * @param addresses Addresses in order of preference.
 * @param timeToLiveSeconds Time for which callers may cache the addresses, in seconds.
 */
export function encodeEntries(addresses: readonly string[], timeToLiveSeconds: number): string {
	return JSON.stringify({addresses, ttlS: timeToLiveSeconds});
}
