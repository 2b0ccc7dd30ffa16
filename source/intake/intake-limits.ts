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

/** Share of the other descriptors that callers' connections may take; the rest is for endpoints, the store and other gateways. */
const callerDescriptorShare = 0.5;

/** Requests in progress on one connection. */
const requestsPerConnection = 64;

/**
 * Returns the limits for a host.
 *
 * @param resources Resources of the host.
 * @example
 * ```ts
 * intakeLimits({memoryMegabytes: 186, descriptors: 2048}).connections; // 924
 * ```
 */
export function intakeLimits({memoryMegabytes, descriptors}: HostResources): IntakeLimits {
	const memoryBytes = memoryMegabytes * bytesPerMegabyte;
	return {
		smallBodyBytes,
		allSmallBytes: Math.floor(memoryBytes * memoryShares.small),
		allLargeBytes: Math.floor(memoryBytes * memoryShares.large),
		connections: Math.max(1, Math.floor((descriptors - reservedDescriptors) * callerDescriptorShare)),
		requestsPerConnection,
	};
}
