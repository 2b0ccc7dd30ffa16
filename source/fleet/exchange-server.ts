/**
 * Server of the exchange call between gateways.
 *
 * @module
 */
import {
	Server, ServerCredentials, status, type ServerUnaryCall, type ServiceDefinition, type sendUnaryData,
} from '@grpc/grpc-js';
import {type PermitReply, type PermitRequest} from '../limits/permit-message.ts';
import {exchangeMethod, largestMessageBytes, type ExchangeMessage} from './exchange-protocol.ts';
import {permitMethod} from './permit-protocol.ts';

/** Options of {@linkcode startExchangeServer}. */
export type ExchangeServerOptions = {
	/** IP address and port to listen on. */
	listen: string;
	/** Handles a message and returns the response. */
	handle: (message: ExchangeMessage) => ExchangeMessage | Promise<ExchangeMessage>;
	/** Answers a request for a permit. */
	answerPermit: (request: PermitRequest) => PermitReply;
};

/**
 * Starts a server that responds to other gateways.
 *
 * @param options Address and handler.
 * @returns A function that stops the server.
 * @throws {Error} If the server cannot listen on the address.
 */
export async function startExchangeServer({listen, handle, answerPermit}: ExchangeServerOptions): Promise<() => void> {
	const server = new Server({'grpc.max_concurrent_streams': 256, 'grpc.max_receive_message_length': largestMessageBytes});
	const service: ServiceDefinition = {exchange: exchangeMethod, permit: permitMethod};
	server.addService(service, {
		exchange(call: ServerUnaryCall<ExchangeMessage, ExchangeMessage>, callback: sendUnaryData<ExchangeMessage>) {
			void respond(handle(call.request), callback);
		},
		permit(call: ServerUnaryCall<PermitRequest, PermitReply>, callback: sendUnaryData<PermitReply>) {
			callback(null, answerPermit(call.request));
		},
	});
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(listen, ServerCredentials.createInsecure(), error => {
			if (error) {
				reject(error);
			} else {
				resolve();
			}
		});
	});
	return () => {
		server.forceShutdown();
	};
}

/** Sends a response once it is known. */
async function respond(response: ExchangeMessage | Promise<ExchangeMessage>, callback: sendUnaryData<ExchangeMessage>): Promise<void> {
	try {
		callback(null, await response);
	} catch (error) {
		callback({code: status.INTERNAL, details: error instanceof Error ? error.message : String(error)});
	}
}
