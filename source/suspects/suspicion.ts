/**
 * What all gateways together hold against one request.
 *
 * Answers the load of a request that ends each endpoint that runs it and comes back at any gateway, beside requests that merely ran on
 * those endpoints. All times are the store's, in milliseconds.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {endpointIncarnationSchema, type EndpointIncarnation} from '../beliefs/endpoint-list.ts';

/** Lives of endpoints that ended under a request, and how often it was tried since it was refused. */
export const suspicionSchema = z.object({
	service: z.string(),
	ends: z.array(endpointIncarnationSchema),
	/** Trials that were begun, however they ended. */
	trials: z.number(),
	/** When an end or a trial was last added. */
	changedAt: z.number(),
});

/** What is held against one request. */
export type Suspicion = z.output<typeof suspicionSchema>;

/** Ends from which all gateways are told of a request, so that one that serves it well can clear it. */
export const toldEnds = 2;

/** Ends from which a request is refused. */
export const refusedEnds = 3;

/** Ends that are kept; more say nothing new. */
const keptEnds = 8;

/**
 * Time from the last end or trial to the next trial, in milliseconds, by the trials before. The first one is short, so that a request
 * that was merely there soon runs again; after the last one the request stays refused until it is forgotten.
 */
const trialPauses = [2000, 30_000];

/** Time after the last end or trial after which nothing is held against a request, in milliseconds. */
export const forgottenMilliseconds = 3_600_000;

/** Whether a request is refused but for trials. */
export function isRefused({ends}: Suspicion): boolean {
	return ends.length >= refusedEnds;
}

/** Time from the last end or trial until a trial may begin, in milliseconds. */
export function trialPause({trials}: Suspicion): number {
	return trialPauses[trials] ?? forgottenMilliseconds;
}

/** Whether nothing is held against a request any more. */
export function isForgotten({changedAt}: Suspicion, now: number): boolean {
	return now - changedAt >= forgottenMilliseconds;
}

/** Whether two lives are the same. */
export function isSameLife(one: EndpointIncarnation, other: EndpointIncarnation): boolean {
	return one.id === other.id && one.startedAt === other.startedAt;
}

/**
 * Adds the end of an endpoint to what is held against a request.
 *
 * @param before What was held; absent for nothing.
 * @param service Service of the endpoint.
 * @param life The life that ended.
 * @param now Present time.
 * @returns What is held now; `before` itself where this end is known already.
 */
export function addEnd(before: Suspicion | undefined, service: string, life: EndpointIncarnation, now: number): Suspicion {
	if (!before || isForgotten(before, now)) {
		return {
			service, ends: [life], trials: 0, changedAt: now,
		};
	}

	return before.ends.some(end => isSameLife(end, life)) ? before : {...before, ends: [...before.ends, life].slice(-keptEnds), changedAt: now};
}

/**
 * Begins a trial of a refused request.
 *
 * @param before What is held against it.
 * @param now Present time.
 * @returns What is held now; `undefined` where no trial may begin yet.
 */
export function beginTrial(before: Suspicion, now: number): Suspicion | undefined {
	return now - before.changedAt >= trialPause(before) ? {...before, trials: before.trials + 1, changedAt: now} : undefined;
}

/** Takes back a trial that did not run, so that the request is tried once more after the same pause. */
export function takeBackTrial(before: Suspicion, now: number): Suspicion {
	return {...before, trials: Math.max(0, before.trials - 1), changedAt: now};
}

/**
 * Reads what is held against a request.
 *
 * @param content Content of its row.
 * @returns What is held, or why it cannot be read.
 */
export function decodeSuspicion(content: Uint8Array): Result<Suspicion, string> {
	try {
		return ok(suspicionSchema.parse(JSON.parse(new TextDecoder().decode(content))));
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}

/** Content of a row. */
export function encodeSuspicion(suspicion: Suspicion): string {
	return JSON.stringify(suspicion);
}
