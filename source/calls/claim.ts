/**
 * The claim of a call that runs at most once: one row of the table for each workspace, service and idempotency key.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {type ServiceRequest} from '../endpoints/mod.ts';

/** An answer that is kept for repeats of its call. */
export const storedAnswerSchema = z.object({
	status: z.number().int(),
	headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
	/** Body in base64; absent when the answer was too large to keep. */
	body: z.string().optional(),
});

/** Value of a claim's row. Rows are never deleted while their key may come again. */
export const claimSchema = z.object({
	/** Writer's own token, by which a lost answer of the table is settled. */
	token: z.string(),
	/** Digest of method, path and body. */
	callDigest: z.string(),
	/** Host and incarnation of the router that claimed the call. */
	router: z.string(),
	/** Wall-clock time by which that router has ended the call, in milliseconds. */
	endsBefore: z.number(),
	/**
	 * `running` from the claim on, `ended` with the service's answer, `unknown` when bytes left and no answer came,
	 * `withdrawn` when no byte left. Only a withdrawn claim may be replaced by another one.
	 */
	state: z.enum(['running', 'ended', 'unknown', 'withdrawn']),
	answer: storedAnswerSchema.optional(),
	/** Operator who settled the claim, and the token of that write. */
	settledBy: z.object({operator: z.string(), token: z.string()}).optional(),
});

/** A claim as stored. */
export type Claim = z.output<typeof claimSchema>;

/** An answer that is kept. */
export type StoredAnswer = z.output<typeof storedAnswerSchema>;

/** Names one call that runs at most once. */
export type ClaimName = {workspace: string; service: string; idempotencyKey: string};

/** Table of the claims. */
export const claimTable = 'claim';

/** Longest idempotency key, in characters. */
export const longestKeyCharacters = 128;

const keyPattern = /^[\u0021-\u007E]+$/v;

/**
 * Returns whether an idempotency key may be used: 1 to 128 characters of visible ASCII.
 *
 * @param key Value of the header.
 * @example
 * ```ts
 * isIdempotencyKey('refill-2026-07-14-van-3'); // true
 * ```
 */
export function isIdempotencyKey(key: string): boolean {
	return key.length <= longestKeyCharacters && keyPattern.test(key);
}

/**
 * Returns the key of a claim's row; names of workspaces and services contain no slash.
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
 * Returns the digest by which a repeat is told from another call under the same key.
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
