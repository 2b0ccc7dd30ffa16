/**
 * Limits on what a gateway holds for callers, from the resources of its host.
 *
 * @module
 */

/** Limits on what a gateway holds for callers. */
export type IntakeLimits = {
	/** Largest body that counts as small, in bytes; small bodies have room of their own, which large ones cannot take. */
	smallBodyBytes: number;
	/** Bytes held for all small bodies together. */
	allSmallBytes: number;
	/** Bytes held for all larger bodies together. */
	allLargeBytes: number;
	/** Connections of callers at a time. */
	connections: number;
	/** Requests in progress on one connection; further ones are sent by a caller that does not wait for responses. */
	requestsPerConnection: number;
	/** Requests in progress on all connections; each may need a connection to an endpoint. */
	requests: number;
	/** Idle connections to endpoints that are kept. */
	idleEndpointConnections: number;
};

/** Resources of a host. */
export type HostResources = {
	/** Memory of the process, in megabytes. */
	memoryMegabytes: number;
	/** Descriptors that the process may have. */
	descriptors: number;
};

const bytesPerMegabyte = 1_048_576;

/** Share of the memory that bodies may take, small and larger ones. */
const memoryShares = {small: 0.04, large: 0.06};

/** Largest body that counts as small, in bytes; prompts and the bodies of calls are smaller in most cases. */
const smallBodyBytes = 65_536;

/** Descriptors that are kept for files and for listening. */
const reservedDescriptors = 200;

/** Shares of the other descriptors: callers' connections, connections to endpoints in use, and idle ones; the rest is for the store and other gateways. */
const descriptorShares = {callers: 0.42, requests: 0.36, idle: 0.14};

/** Requests in progress on one connection. */
const requestsPerConnection = 64;

/**
 * Returns the limits for a host.
 *
 * @param resources Resources of the host.
 * @example
 * ```ts
 * intakeLimits({memoryMegabytes: 186, descriptors: 2048}).connections; // 776
 * ```
 */
export function intakeLimits({memoryMegabytes, descriptors}: HostResources): IntakeLimits {
	const memoryBytes = memoryMegabytes * bytesPerMegabyte;
	const shareOf = (share: number) => Math.max(1, Math.floor((descriptors - reservedDescriptors) * share));
	return {
		smallBodyBytes,
		allSmallBytes: Math.floor(memoryBytes * memoryShares.small),
		allLargeBytes: Math.floor(memoryBytes * memoryShares.large),
		connections: shareOf(descriptorShares.callers),
		requestsPerConnection,
		requests: shareOf(descriptorShares.requests),
		idleEndpointConnections: shareOf(descriptorShares.idle),
	};
}
