/**
 * Messages by which a gateway borrows retries from another one.
 *
 * @module
 */
import * as z from 'zod';
import {creditsPerRetry} from './retry-credits.ts';

/** Time after its request within which a loan of another gateway may be used, in milliseconds. */
export const peerLoanMilliseconds = 2000;

/** Maximum number of credits in one loan of another gateway. */
export const maximumPeerLoan = 32 * creditsPerRetry;

/** Maximum length of the name of a service in a message. */
const maximumServiceLength = 512;

const creditsSchema = z.number().int().nonnegative().max(maximumPeerLoan);

/** Schema of a request for a loan. */
export const retryLoanRequestSchema = z.object({
	service: z.string().max(maximumServiceLength),
	/** Number of credits requested; see {@linkcode creditsPerRetry}. */
	wanted: creditsSchema,
});

/** Schema of the reply. */
export const retryLoanReplySchema = z.object({
	/** Credits that the sender of the request may use from now on, and the replying gateway may not. */
	lent: creditsSchema,
});

/** A request for a loan. */
export type RetryLoanRequest = z.output<typeof retryLoanRequestSchema>;

/** The reply to it. */
export type RetryLoanReply = z.output<typeof retryLoanReplySchema>;
