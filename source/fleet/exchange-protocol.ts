/**
 * The gRPC call by which two gateways tell each other what they know.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type MethodDefinition} from '@grpc/grpc-js';
import * as z from 'zod';
import {endpointChangeSchema, endpointLifeSchema, leavingLifeSchema} from '../beliefs/endpoint-list.ts';
import {suspicionSchema} from '../suspects/mod.ts';
import {heartbeatSchema, memberSchema} from './member.ts';

/** Largest message, in bytes: a whole configuration and all endpoints at the largest size. */
export const largestMessageBytes = 16_777_216;

/** What the asking side knows of configuration and endpoints. */
export const knownSchema = z.object({
	/** Version of the configuration; 0 for none. */
	configurationVersion: z.number(),
	/** Revision up to which changes of the endpoints are known. */
	endpointRevision: z.number(),
	/** Revision up to which changes of the suspected requests are known. */
	suspectRevision: z.number().default(0),
});

/** A suspected request, or the fact that it was cleared. */
const suspectChangeSchema = z.object({digest: z.string(), suspicion: suspicionSchema.optional(), revision: z.number()});

/** The end of an endpoint under a request that the store has not taken yet. */
const unsavedEndSchema = z.object({digest: z.string(), service: z.string(), life: endpointLifeSchema});

/** What the answering side knows beyond that. */
export const newsSchema = z.object({
	/** A newer configuration, packed. */
	configuration: z.string().optional(),
	/** Time since the store was last known to hold none newer, in milliseconds; absent where that is not known. */
	configurationAgeMilliseconds: z.number().optional(),
	/** Changes of the endpoints. */
	endpoints: z.array(endpointChangeSchema),
	endpointRevision: z.number(),
	/** Time since the store was last known to hold no other change, in milliseconds; absent where that is not known. */
	endpointAgeMilliseconds: z.number().optional(),
	/** Changes of the suspected requests. */
	suspects: z.array(suspectChangeSchema).default([]),
	suspectRevision: z.number().default(0),
});

/** What a gateway has seen itself or heard from others, and the store does not tell; its loss costs time and no promise. */
export const hintsSchema = z.object({
	/** Ends of endpoints under requests that the store has not taken yet. */
	unsavedEnds: z.array(unsavedEndSchema).default([]),
	/** Endpoints that have said themselves that they leave. */
	leavingLives: z.array(leavingLifeSchema).default([]),
});

/** What each side tells. */
export const exchangeMessageSchema = z.object({
	/** Gateways that the other side may not know, the sender first. */
	members: z.array(memberSchema).min(1),
	/** State of all gateways that the sender takes to be alive; absent where only news of the store is asked for. */
	heartbeats: z.array(heartbeatSchema).optional(),
	/** What the sender has seen of endpoints; sent with heartbeats. */
	hints: hintsSchema.optional(),
	/** In a question: what the asker knows already. */
	known: knownSchema.optional(),
	/** In an answer to such a question: what is news to the asker. */
	news: newsSchema.optional(),
});

/** What the asking side knows. */
export type Known = z.output<typeof knownSchema>;

/** What the answering side knows beyond that. */
export type News = z.output<typeof newsSchema>;

/** What a gateway has seen itself or heard from others. */
export type Hints = z.output<typeof hintsSchema>;

/** One message. */
export type ExchangeMessage = z.output<typeof exchangeMessageSchema>;

const encode = (message: ExchangeMessage) => Buffer.from(JSON.stringify(message));
const decode = (bytes: Uint8Array) => exchangeMessageSchema.parse(JSON.parse(new TextDecoder().decode(bytes)));

/** The method; what is received is checked against {@linkcode exchangeMessageSchema}, and gRPC turns a fault into an error of the call. */
export const exchangeMethod: MethodDefinition<ExchangeMessage, ExchangeMessage> = {
	path: '/azuretack.Fleet/Exchange',
	requestStream: false,
	responseStream: false,
	requestSerialize: encode,
	requestDeserialize: decode,
	responseSerialize: encode,
	responseDeserialize: decode,
};
