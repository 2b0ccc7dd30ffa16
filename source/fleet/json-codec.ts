/**
 * Calls between gateways whose messages are JSON.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type MethodDefinition} from '@grpc/grpc-js';
import {type z} from 'zod';

/**
 * Creates the functions that encode a message and that decode and validate one.
 *
 * @param schema Schema of the message.
 * @example
 * ```ts
 * const {encode, decode} = jsonCodec(messageSchema);
 * ```
 */
export function jsonCodec<Message>(schema: z.ZodType<Message>) {
	return {
		encode: (message: Message) => Buffer.from(JSON.stringify(message)),
		decode: (bytes: Uint8Array) => schema.parse(JSON.parse(new TextDecoder().decode(bytes))),
	};
}

/**
 * Defines a gRPC method with one message each way. Received messages are validated, and a validation error fails the call.
 *
 * @param path Path of the method.
 * @param requestSchema Schema of the request.
 * @param replySchema Schema of the reply.
 * @example
 * ```ts
 * const permitMethod = jsonMethod('/azuretack.Fleet/Permit', permitRequestSchema, permitReplySchema);
 * ```
 */
export function jsonMethod<Request, Reply>(path: string, requestSchema: z.ZodType<Request>, replySchema: z.ZodType<Reply>): MethodDefinition<Request, Reply> {
	const request = jsonCodec(requestSchema);
	const reply = jsonCodec(replySchema);
	return {
		path,
		requestStream: false,
		responseStream: false,
		requestSerialize: request.encode,
		requestDeserialize: request.decode,
		responseSerialize: reply.encode,
		responseDeserialize: reply.decode,
	};
}
