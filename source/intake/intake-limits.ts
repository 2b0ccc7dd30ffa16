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
	/** Bytes of heads of requests in progress on one connection, from which on its further requests wait to be read. */
	headBytesPerConnection: number;
	/** Requests in progress on one connection, from which on its further requests wait to be read. */
	requestsReadAhead: number;
	/** Bytes of heads of requests in progress on all connections, from which on no further requests are read behind an unanswered one. */
	allHeadBytes: number;
	/** Bytes received and not handled yet on all connections, from which on the connection that holds most is closed. */
	allUnreadBytes: number;
	/** Bytes that were given up and not collected yet, from which on they are collected. */
	uncollectedBytes: number;
	/** Connections of callers at a time. */
	connections: number;
	/** Requests in progress on one connection; further ones are sent by a caller that does not wait for responses. */
	requestsPerConnection: number;
	/** Requests in progress on all connections; each may need a connection to an endpoint. */
	requests: number;
	/** Connections of other processes of the system at a time. */
	peerConnections: number;
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

/** Shares of the memory: bodies, small and larger ones; heads; bytes that are not handled yet; bytes that were given up and are not collected yet. */
const memoryShares = {
	small: 0.04, large: 0.06, heads: 0.03, unread: 0.12, uncollected: 0.06,
};

/** Bytes of heads on one connection behind which further requests wait; dozens of ordinary heads, or one of the largest size. */
const headBytesPerConnection = 16_384;

/** Requests in progress on one connection behind which further ones wait. */
const requestsReadAhead = 24;

/** Largest body that counts as small, in bytes; prompts and the bodies of calls are smaller in most cases. */
const smallBodyBytes = 65_536;

/** Descriptors that are kept for files and for listening. */
const reservedDescriptors = 200;

/**
 * Shares of the other descriptors: callers' connections, connections to endpoints in use, and idle ones, and connections of other processes of the
 * system, which are that many only if a crowd opens them.
 */
const descriptorShares = {
	callers: 0.42, requests: 0.36, idle: 0.14, peers: 0.25,
};

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
		headBytesPerConnection,
		requestsReadAhead,
		allHeadBytes: Math.floor(memoryBytes * memoryShares.heads),
		allUnreadBytes: Math.floor(memoryBytes * memoryShares.unread),
		uncollectedBytes: Math.floor(memoryBytes * memoryShares.uncollected),
		connections: shareOf(descriptorShares.callers),
		requestsPerConnection,
		requests: shareOf(descriptorShares.requests),
		peerConnections: shareOf(descriptorShares.peers),
		idleEndpointConnections: shareOf(descriptorShares.idle),
	};
}
