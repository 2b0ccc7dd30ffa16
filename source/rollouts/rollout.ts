/**
 * Orders to move a service's traffic to another version, and the records of their progress in the store.
 *
 * @module
 */
import * as z from 'zod';

/** Schema of an operator's order. */
export const rolloutOrderSchema = z.object({
	/** Identifies the order; the same after the store came back from an older copy that holds it. */
	id: z.string(),
	service: z.string(),
	/** Version that the traffic moves to. */
	to: z.string(),
	/** Time from the order to its deadline, in milliseconds. */
	durationMilliseconds: z.number().positive(),
});

/** An operator's order. */
export type RolloutOrder = z.output<typeof rolloutOrderSchema>;

/**
 * Schema of the progress of an order. `running`: a share of the requests is sent to the new version; `promoted`: all are, and the old
 * version still runs; `completed` and `rolled-back` are final.
 */
export const rolloutRecordSchema = z.object({
	/** Number of the record among all of the service; a record never replaces one with a larger number. */
	sequence: z.number(),
	/** Id of the order. */
	order: z.string(),
	service: z.string(),
	to: z.string(),
	/** Version that serves all requests that are not sent to the new one; empty if its endpoints name none. */
	established: z.string(),
	phase: z.enum(['running', 'promoted', 'completed', 'rolled-back']),
	/** Share of the requests that is sent to the new version while the order runs. */
	share: z.number(),
	/** Processes of gateways that may send one request more than their share to the new version. */
	grantees: z.array(z.string()),
	/** Store time at which the order was accepted, and its deadline, in milliseconds. */
	acceptedAt: z.number(),
	deadlineAt: z.number(),
	/** Store time at which the phase began, in milliseconds. */
	phaseAt: z.number(),
	/** Why the phase began. */
	reason: z.string(),
});

/** Progress of an order. */
export type RolloutRecord = z.output<typeof rolloutRecordSchema>;

/** Whether an order is decided for good. */
export function isFinal({phase}: Pick<RolloutRecord, 'phase'>): boolean {
	return phase === 'completed' || phase === 'rolled-back';
}

/** Schemas of changes of orders and records, as gateways send them to each other. */
export const orderChangeSchema = z.object({key: z.string(), content: rolloutOrderSchema.optional(), revision: z.number()});
export const recordChangeSchema = z.object({key: z.string(), content: rolloutRecordSchema.optional(), revision: z.number()});

/** Bounds on roll-outs. */
export type RolloutBounds = {
	/** Share of a service's requests that a version may get before it is accepted. */
	exposeShare: number;
	/** Requests beyond that share, of all gateways together. */
	exposeSlack: number;
	/** Time after many bad answers within which a version gets no more requests, in milliseconds. */
	rollbackMilliseconds: number;
	/** Time within which all gateways know a change, in milliseconds. */
	spreadMilliseconds: number;
};

/** Version of an endpoint as records name it; empty if the endpoint names none. */
export function versionName({version}: {version?: string}): string {
	return version ?? '';
}
