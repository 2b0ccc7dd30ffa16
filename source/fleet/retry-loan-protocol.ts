/**
 * The gRPC call by which a gateway borrows retries from another one.
 *
 * @module
 */
import {type MethodDefinition} from '@grpc/grpc-js';
import {
	retryLoanReplySchema, retryLoanRequestSchema, type RetryLoanReply, type RetryLoanRequest,
} from '../retries/retry-loan-message.ts';
import {jsonCodec} from './json-codec.ts';

const request = jsonCodec(retryLoanRequestSchema);
const reply = jsonCodec(retryLoanReplySchema);

/** Definition of the gRPC method; received messages are validated, and a validation error fails the call. */
export const retryLoanMethod: MethodDefinition<RetryLoanRequest, RetryLoanReply> = {
	path: '/azuretack.Fleet/RetryLoan',
	requestStream: false,
	responseStream: false,
	requestSerialize: request.encode,
	requestDeserialize: request.decode,
	responseSerialize: reply.encode,
	responseDeserialize: reply.decode,
};
