/**
 * Deaths of endpoints and what ran there.
 *
 * @module
 */

/** Where an endpoint runs. */
export type EndpointPlace = {host: string; availabilityZone: string};

/** The end of an endpoint's process, as this router saw it. */
export type Death = {
	readonly endpoint: string;
	readonly place: EndpointPlace;
	/** Whether a whole host or availability zone was lost, so that the death accuses nobody. */
	common: boolean;
};

/** One request at one endpoint. */
export type Run = {
	readonly digest: string;
	readonly endpoint: string;
	/** Tokens produced there. */
	tokens: number;
	/** Whether the endpoint has died under it. */
	dead: boolean;
};

/** Whether two places share a host or an availability zone. */
export function isNear(one: EndpointPlace, other: EndpointPlace | undefined): boolean {
	return one.host === other?.host || one.availabilityZone === other?.availabilityZone;
}
