/**
 * The gRPC call by which two gateways tell each other what they know.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type MethodDefinition} from '@grpc/grpc-js';
import {z} from 'zod';
import {memberSchema} from './member.ts';

/** What each side tells. */
export const exchangeMessageSchema = z.object({
	/** Gateways that the sender knows of, itself first. */
	members: z.array(memberSchema).min(1),
});

/** One message. */
export type ExchangeMessage = z.output<typeof exchangeMessageSchema>;

const encode = (message: ExchangeMessage) => Buffer.from(JSON.stringify(message));
const decode = (bytes: Buffer): unknown => JSON.parse(bytes.toString());

/** The method; what is received is checked against {@linkcode exchangeMessageSchema}. */
export const exchangeMethod: MethodDefinition<ExchangeMessage, unknown> & {requestDeserialize: (bytes: Buffer) => ExchangeMessage} = {
	path: '/azuretack.Fleet/Exchange',
	requestStream: false,
	responseStream: false,
	requestSerialize: encode,
	requestDeserialize: bytes => exchangeMessageSchema.parse(decode(bytes)),
	responseSerialize: message => encode(exchangeMessageSchema.parse(message)),
	responseDeserialize: decode,
};
