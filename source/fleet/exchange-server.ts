/**
 * Answers other gateways.
 *
 * @module
 */
import {
	Server, ServerCredentials, type ServerUnaryCall, type ServiceDefinition, type sendUnaryData,
} from '@grpc/grpc-js';
import {exchangeMethod, largestMessageBytes, type ExchangeMessage} from './exchange-protocol.ts';

/** Options of {@linkcode startExchangeServer}. */
export type ExchangeServerOptions = {
	/** IP number and port. */
	listen: string;
	/** Takes a message and returns the answer. */
	answer: (message: ExchangeMessage) => ExchangeMessage;
};

/**
 * Starts to answer other gateways.
 *
 * @param options Address and handler.
 * @returns The function that stops it.
 * @throws {Error} When the address cannot be listened on.
 */
export async function startExchangeServer({listen, answer}: ExchangeServerOptions): Promise<() => void> {
	const server = new Server({'grpc.max_concurrent_streams': 256, 'grpc.max_receive_message_length': largestMessageBytes});
	const service: ServiceDefinition = {exchange: exchangeMethod};
	server.addService(service, {
		exchange(call: ServerUnaryCall<ExchangeMessage, ExchangeMessage>, callback: sendUnaryData<ExchangeMessage>) {
			callback(null, answer(call.request));
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
