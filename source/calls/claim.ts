/**
 * Claims of calls that run at most once: one table row for each workspace, service and idempotency key.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {type ServiceRequest} from '../endpoints/mod.ts';

/** An answer that is stored for repeats of its call. */
export const storedAnswerSchema = z.object({
	status: z.number().int(),
	headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
	/** Body in base64; absent when the answer was too large to store. */
	body: z.string().optional(),
});

/** Value of a claim's row. A row is never deleted while its key may be used again. */
export const claimSchema = z.object({
	/** Token of the writer, which identifies its own write when the answer of the table was lost. */
	token: z.string(),
	/** Digest of method, path and body. */
	callDigest: z.string(),
	/** Host and incarnation of the router that claimed the call. */
	router: z.string(),
	/** Wall-clock time by which that router ends the call, in milliseconds. */
	endsBefore: z.number(),
	/**
	 * `running` once claimed, `ended` after an answer of the service, `unknown` when bytes were sent and no answer was received,
	 * `withdrawn` when no byte was sent. Only a withdrawn claim may be replaced by another one.
	 */
	state: z.enum(['running', 'ended', 'unknown', 'withdrawn']),
	answer: storedAnswerSchema.optional(),
	/** Operator who settled the claim, and the token of that write. */
	settledBy: z.object({operator: z.string(), token: z.string()}).optional(),
});

/** A claim as stored. */
export type Claim = z.output<typeof claimSchema>;

/** A stored answer. */
export type StoredAnswer = z.output<typeof storedAnswerSchema>;

/** Identifies one call that runs at most once. */
export type ClaimName = {workspace: string; service: string; idempotencyKey: string};

/** Table of the claims. */
export const claimTable = 'claim';

/** Maximum length of an idempotency key, in characters. */
export const maximumKeyCharacters = 128;

const keyPattern = /^[\u0021-\u007E]+$/v;

/**
 * Returns whether an idempotency key is valid: 1 to 128 characters of visible ASCII.
 *
 * @param key Value of the header.
 * @example
 * ```ts
 * isIdempotencyKey('refill-2026-07-14-van-3'); // true
 * ```
 */
export function isIdempotencyKey(key: string): boolean {
	return key.length <= maximumKeyCharacters && keyPattern.test(key);
}

/**
 * Returns the key of a claim's row. It is unambiguous, since names of workspaces and services contain no slash.
 *
 * @param name Workspace, service and idempotency key.
 * @example
 * ```ts
 * claimKey({workspace: 'vans', service: 'orders', idempotencyKey: 'refill-7'}); // 'vans/orders/refill-7'
 * ```
 */
export function claimKey(name: ClaimName): string {
	return `${name.workspace}/${name.service}/${name.idempotencyKey}`;
}

/**
 * Returns the digest that distinguishes a repeat from another call under the same key.
 *
 * @param request The call.
 * @example
 * ```ts
 * const callDigest = digestCall(request);
 * ```
 */
export function digestCall(request: ServiceRequest): string {
	return createHash('sha256').update(JSON.stringify([request.method, request.path])).update(request.body).digest('hex');
}
