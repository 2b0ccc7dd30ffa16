/**
 * Server of the exchange call between gateways.
 *
 * @module
 */
import {
	Server, status, type ServerUnaryCall, type ServiceDefinition, type sendUnaryData,
} from '@grpc/grpc-js';
import {type PermitReply, type PermitRequest} from '../limits/permit-message.ts';
import {type RetryLoanReply, type RetryLoanRequest} from '../retries/retry-loan-message.ts';
import {listenForGrpc} from '../supervision/grpc-listener.ts';
import {exchangeMethod, largestMessageBytes, type ExchangeMessage} from './exchange-protocol.ts';
import {permitMethod} from './permit-protocol.ts';
import {retryLoanMethod} from './retry-loan-protocol.ts';

/** Options of {@linkcode startExchangeServer}. */
export type ExchangeServerOptions = {
	/** IP address and port to listen on. */
	listen: string;
	/** Connections at a time. Default 462. */
	connections?: number;
	/** Handles a message and returns the response. */
	handle: (message: ExchangeMessage) => ExchangeMessage | Promise<ExchangeMessage>;
	/** Answers a request for a permit. */
	answerPermit: (request: PermitRequest) => PermitReply;
	/** Answers a request for a loan of retries. Default: lends none. */
	lendRetries?: (request: RetryLoanRequest) => RetryLoanReply;
};

/** Connections at a time where the host's resources are not known: one of each gateway of a large fleet. */
const defaultConnections = 462;

/**
 * Starts a server that responds to other gateways.
 *
 * @param options Address and handler.
 * @returns A function that stops the server.
 * @throws {Error} If the server cannot listen on the address.
 */
export async function startExchangeServer({
	listen, connections = defaultConnections, handle, answerPermit, lendRetries = () => ({lent: 0}),
}: ExchangeServerOptions): Promise<() => void> {
	const server = new Server({'grpc.max_concurrent_streams': 256, 'grpc.max_receive_message_length': largestMessageBytes});
	const service: ServiceDefinition = {exchange: exchangeMethod, permit: permitMethod, retryLoan: retryLoanMethod};
	server.addService(service, {
		exchange(call: ServerUnaryCall<ExchangeMessage, ExchangeMessage>, callback: sendUnaryData<ExchangeMessage>) {
			void respond(handle(call.request), callback);
		},
		permit(call: ServerUnaryCall<PermitRequest, PermitReply>, callback: sendUnaryData<PermitReply>) {
			callback(null, answerPermit(call.request));
		},
		retryLoan(call: ServerUnaryCall<RetryLoanRequest, RetryLoanReply>, callback: sendUnaryData<RetryLoanReply>) {
			callback(null, lendRetries(call.request));
		},
	});
	return listenForGrpc(server, {address: listen, connections});
}

/** Sends a response once it is known. */
async function respond(response: ExchangeMessage | Promise<ExchangeMessage>, callback: sendUnaryData<ExchangeMessage>): Promise<void> {
	try {
		callback(null, await response);
	} catch (error) {
		callback({code: status.INTERNAL, details: error instanceof Error ? error.message : String(error)});
	}
}
