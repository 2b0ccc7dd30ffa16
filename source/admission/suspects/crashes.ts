/**
 * Crashes of endpoints and the requests that ran on them.
 *
 * @module
 */

/** Where an endpoint runs. */
export type EndpointLocation = {host: string; availabilityZone: string};

/** The exit of an endpoint's process while it ran requests, as observed by this router. */
export type Crash = {
	readonly endpoint: string;
	readonly location: EndpointLocation;
	/** Whether a whole host or availability zone was lost, so that the crash is counted against no request. */
	correlated: boolean;
};

/** A run of one request on one endpoint. */
export type Run = {
	readonly digest: string;
	readonly endpoint: string;
	/** Number of tokens produced by this run. */
	tokens: number;
	/** Whether the endpoint crashed during this run. */
	crashed: boolean;
};

/** Whether two locations share a host or an availability zone. */
export function sharesFailureDomain(one: EndpointLocation, other: EndpointLocation | undefined): boolean {
	return one.host === other?.host || one.availabilityZone === other?.availabilityZone;
}
