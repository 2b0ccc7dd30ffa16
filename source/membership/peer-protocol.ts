/**
 * Messages between routers, and the gRPC service that carries them.
 *
 * The service is described by a JSON descriptor, so that no file has to be found at run time; its codec is protobuf.
 * Every message is a hint: losing one costs efficiency and breaks no promise.
 *
 * @module
 */
import {type MethodDefinition} from '@grpc/grpc-js';
import {fromJSON} from '@grpc/proto-loader';
import * as z from 'zod';

/** A hint that spreads over all routers. */
export const hintSchema = z.object({
	/** What the hint is about, such as `host`. */
	kind: z.string().max(64),
	/** The thing that it is about, such as a host's name. */
	key: z.string().max(256),
	/** Rises with each new value of the same kind and key. */
	stamp: z.number().int().nonnegative(),
	value: z.string().max(1024).default(''),
	/** Time since it was published, in milliseconds. */
	ageMilliseconds: z.number().nonnegative().default(0),
});

/** Work in progress of one service at one router. */
export const loadSchema = z.object({service: z.string(), requests: z.number().default(0), tokens: z.number().default(0)});

/** Running totals of some workspaces, one array a column. */
export const usageReportSchema = z.object({
	/** Names that later reports of the same connection refer to by their position. */
	names: z.array(z.string()),
	positions: z.array(z.number()),
	deliveredTokens: z.array(z.number()),
	extraTokens: z.array(z.number()),
	calls: z.array(z.number()),
});

/** The difference between two versions of the configuration. */
export const differenceSchema = z.object({
	/** Version that the difference starts from; 0 for a whole configuration. */
	baseVersion: z.number().default(0),
	version: z.number().int().positive(),
	/** Digest of the whole configuration of the new version. */
	digest: z.string(),
	/** Added and changed items, as JSON. */
	services: z.array(z.string()),
	workspaces: z.array(z.string()),
	removedServices: z.array(z.string()),
	removedWorkspaces: z.array(z.string()),
});

/** One message of a connection between two routers; each field is absent when there is nothing to say. */
export const peerMessageSchema = z.object({
	/** First message of each side. */
	hello: z.object({hostName: z.string().min(1), incarnation: z.string().min(1), availabilityZone: z.string()}).optional(),
	/** Version of the configuration in force; in every message. */
	configurationVersion: z.number().default(0),
	hints: z.array(hintSchema).default([]),
	loads: z.array(loadSchema).default([]),
	usage: usageReportSchema.optional(),
	/** Asks for the configuration; the number is the version that the asker has. */
	pullConfiguration: z.object({baseVersion: z.number().default(0)}).optional(),
	difference: differenceSchema.optional(),
	/** Asks for the host list when the asked router's is clearly newer. */
	pullHosts: z.object({ageMilliseconds: z.number()}).optional(),
	/** The host list as JSON. */
	hosts: z.object({json: z.string(), ageMilliseconds: z.number().default(0)}).optional(),
});

/** One message. */
export type PeerMessage = z.output<typeof peerMessageSchema>;

/** A message with only some of its fields. */
export type PeerMessageParts = z.input<typeof peerMessageSchema>;

/** The difference between two versions of the configuration. */
export type ConfigurationDifference = z.output<typeof differenceSchema>;

/** A hint as it travels. */
export type Hint = z.output<typeof hintSchema>;

/** Running totals of some workspaces. */
export type UsageReport = z.output<typeof usageReportSchema>;

type Field = {type: string; id: number; rule?: 'repeated'; options?: {packed: boolean}};

const one = (id: number, type: string): Field => ({id, type});
const many = (id: number, type: string): Field => ({id, type, rule: 'repeated'});
const packed = (id: number): Field => ({
	id, type: 'uint64', rule: 'repeated', options: {packed: true},
});

const messages = {
	Hello: {fields: {hostName: one(1, 'string'), incarnation: one(2, 'string'), availabilityZone: one(3, 'string')}},
	Hint: {
		fields: {
			kind: one(1, 'string'), key: one(2, 'string'), stamp: one(3, 'uint64'), value: one(4, 'string'), ageMilliseconds: one(5, 'uint64'),
		},
	},
	Load: {fields: {service: one(1, 'string'), requests: one(2, 'uint64'), tokens: one(3, 'uint64')}},
	Usage: {
		fields: {
			names: many(1, 'string'), positions: packed(2), deliveredTokens: packed(3), extraTokens: packed(4), calls: packed(5),
		},
	},
	PullConfiguration: {fields: {baseVersion: one(1, 'uint64')}},
	Difference: {
		fields: {
			baseVersion: one(1, 'uint64'),
			version: one(2, 'uint64'),
			digest: one(3, 'string'),
			services: many(4, 'string'),
			workspaces: many(5, 'string'),
			removedServices: many(6, 'string'),
			removedWorkspaces: many(7, 'string'),
		},
	},
	PullHosts: {fields: {ageMilliseconds: one(1, 'uint64')}},
	Hosts: {fields: {json: one(1, 'string'), ageMilliseconds: one(2, 'uint64')}},
	Message: {
		fields: {
			hello: one(1, 'Hello'),
			configurationVersion: one(2, 'uint64'),
			hints: many(3, 'Hint'),
			loads: many(4, 'Load'),
			usage: one(5, 'Usage'),
			pullConfiguration: one(6, 'PullConfiguration'),
			difference: one(7, 'Difference'),
			pullHosts: one(8, 'PullHosts'),
			hosts: one(9, 'Hosts'),
		},
	},
};

const definitions = fromJSON({
	nested: {
		azuretack: {
			nested: {
				...messages,
				Peers: {
					methods: {
						Exchange: {
							requestType: 'Message', requestStream: true, responseType: 'Message', responseStream: true, comment: '',
						},
					},
				},
			},
		},
	},
}, {longs: Number, arrays: true});

/** Metadata field of the key that peers share. */
export const peerKeyField = 'azuretack-peer-key';

/** The one method between routers: a stream of messages each way. */
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The loader types messages as plain objects; the schema checks each one.
export const exchangeMethod = (definitions['azuretack.Peers'] as unknown as {Exchange: MethodDefinition<PeerMessageParts, Record<string, unknown>>}).Exchange;
