/**
 * The gRPC call by which a gateway borrows retries from another one.
 *
 * @module
 */
import {retryLoanReplySchema, retryLoanRequestSchema} from '../retries/retry-loan-message.ts';
import {jsonMethod} from './json-codec.ts';

/** Definition of the gRPC method. */
export const retryLoanMethod = jsonMethod('/azuretack.Fleet/RetryLoan', retryLoanRequestSchema, retryLoanReplySchema);
