/**
 * The gRPC call by which two gateways exchange state.
 *
 * @module
 */
import {type MethodDefinition} from '@grpc/grpc-js';
import * as z from 'zod';
import {endpointChangeSchema, endpointIncarnationSchema, leavingIncarnationSchema} from '../registry/mod.ts';
import {limitChangeSchema} from '../limits/endpoint-limit.ts';
import {orderChangeSchema, recordChangeSchema} from '../rollouts/rollout.ts';
import {subjectKindSchema, suspicionSchema} from '../suspects/mod.ts';
import {jsonCodec} from './json-codec.ts';
import {heartbeatSchema, memberSchema} from './member.ts';

/** Largest message, in bytes; fits a full configuration and all endpoints at their largest size. */
export const largestMessageBytes = 16_777_216;

/** Schema of the revisions that the requesting gateway has. */
export const knownRevisionsSchema = z.object({
	/** Era of the store to which the revisions belong; they are sent without it, as by a gateway of an earlier build. */
	era: z.number().default(0),
	/** Version of the configuration; 0 if it has none. */
	configurationVersion: z.number(),
	/** Revision up to which it has received changes of the endpoints. */
	endpointRevision: z.number(),
	/** Revision up to which it has received changes of the suspected requests. */
	suspectRevision: z.number().default(0),
	/** Revision up to which it has received changes of the endpoint limits. */
	limitRevision: z.number().default(0),
	/** Full revisions of the orders and records of roll-outs; absent from a gateway without them. */
	rollouts: z.object({orderRevision: z.number(), recordRevision: z.number()}).optional(),
});

/** A suspected request, or its clearance when `suspicion` is absent. */
const suspectChangeSchema = z.object({digest: z.string(), suspicion: suspicionSchema.optional(), revision: z.number()});

/** The crash of an endpoint while it ran a request, not yet written to the store. */
const unsavedCrashSchema = z.object({
	digest: z.string(), kind: subjectKindSchema.default('request'), service: z.string(), life: endpointIncarnationSchema, servedMillisecondsBefore: z.number().optional(),
});

/** Schema of the changes that the requesting gateway lacks. */
export const storeUpdateSchema = z.object({
	/** Era of the store to which all revisions of the update belong; they are sent without it, and revisions of earlier eras as 0. */
	era: z.number().default(0),
	/** A newer configuration, compressed. */
	configuration: z.string().optional(),
	/** Time since the configuration was last confirmed to be the newest, in milliseconds; absent if it never was. */
	configurationAgeMilliseconds: z.number().optional(),
	/** Changes of the endpoints since the known revision. */
	endpoints: z.array(endpointChangeSchema),
	endpointRevision: z.number(),
	/** Number of endpoints that have an entry; absent while entries are about to change, and from a gateway of an earlier build. */
	endpointCount: z.number().optional(),
	/** Time since the endpoints were last confirmed to be complete, in milliseconds; absent if they never were. */
	endpointAgeMilliseconds: z.number().optional(),
	/** Changes of the suspected requests since the known revision. */
	suspects: z.array(suspectChangeSchema).default([]),
	suspectRevision: z.number().default(0),
	/** Changes of the endpoint limits since the known revision. */
	limits: z.array(limitChangeSchema).default([]),
	limitRevision: z.number().default(0),
	/** Changes of the orders and records of roll-outs, with full revisions; absent from a gateway without them. */
	rollouts: z.object({
		orders: z.array(orderChangeSchema),
		orderRevision: z.number(),
		records: z.array(recordChangeSchema),
		recordRevision: z.number(),
		/** Time since the records were last confirmed to be the newest, in milliseconds; absent if they never were. */
		recordAgeMilliseconds: z.number().optional(),
	}).optional(),
});

/** Schema of observations that the store does not hold, made by the sender or received from others; losing them costs time but breaks no guarantee. */
export const hintsSchema = z.object({
	/** Crashes of endpoints during requests that are not yet written to the store. */
	unsavedEnds: z.array(unsavedCrashSchema).default([]),
	/** Endpoints that announced that they are leaving. */
	leavingLives: z.array(leavingIncarnationSchema).default([]),
});

/** Schema of the message that each side sends. */
export const exchangeMessageSchema = z.object({
	/** Records of gateways that the receiver may not know, the sender first. */
	members: z.array(memberSchema).min(1),
	/** State of all gateways that the sender considers alive; absent if only an update of the store content is requested. */
	heartbeats: z.array(heartbeatSchema).optional(),
	/** Observations of endpoints that the sender made or received; sent with heartbeats. */
	hints: hintsSchema.optional(),
	/** In a request: the revisions that the sender has. */
	known: knownRevisionsSchema.optional(),
	/** In the response to such a request: the changes that the requester lacks. */
	news: storeUpdateSchema.optional(),
});

/** Revisions that the requesting gateway has. */
export type KnownRevisions = z.output<typeof knownRevisionsSchema>;

/** Changes that the requesting gateway lacks. */
export type StoreUpdate = z.output<typeof storeUpdateSchema>;

/** Observations of endpoints, made by the sender or received from others. */
export type Hints = z.output<typeof hintsSchema>;

/** Message that each side sends. */
export type ExchangeMessage = z.output<typeof exchangeMessageSchema>;

const {encode, decode} = jsonCodec(exchangeMessageSchema);

/** Definition of the gRPC method; received messages are validated against {@linkcode exchangeMessageSchema}, and a validation error fails the call. */
export const exchangeMethod: MethodDefinition<ExchangeMessage, ExchangeMessage> = {
	path: '/azuretack.Fleet/Exchange',
	requestStream: false,
	responseStream: false,
	requestSerialize: encode,
	requestDeserialize: decode,
	responseSerialize: encode,
	responseDeserialize: decode,
};
