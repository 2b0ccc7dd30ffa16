/**
 * Messages between routers, and the gRPC service that carries them.
 *
 * The service is defined by a JSON descriptor, so that no .proto file is needed at run time; messages are encoded as protobuf.
 * Every message is advisory: losing one costs efficiency but violates no guarantee.
 *
 * @module
 */
import {type MethodDefinition} from '@grpc/grpc-js';
import {fromJSON} from '@grpc/proto-loader';
import * as z from 'zod';

/** A hint that is propagated to all routers. */
export const hintSchema = z.object({
	/** Category of the hint, such as `host`. */
	kind: z.string().max(64),
	/** Identifier of the subject, such as a host's name. */
	key: z.string().max(256),
	/** Increases with each new value of the same kind and key. */
	stamp: z.number().int().nonnegative(),
	value: z.string().max(1024).default(''),
	/** Time since it was published, in milliseconds. */
	ageMilliseconds: z.number().nonnegative().default(0),
});

/** Work in progress of one service at one router. */
export const loadSchema = z.object({service: z.string(), requests: z.number().default(0), tokens: z.number().default(0)});

/** Running totals of some workspaces, one array per column. */
export const usageReportSchema = z.object({
	/** Names that this and later reports of the same connection refer to by position. */
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

/** One message of a connection between two routers; a field that has nothing to send is absent or empty. */
export const peerMessageSchema = z.object({
	/** First message of each side. */
	hello: z.object({hostName: z.string().min(1), incarnation: z.string().min(1), availabilityZone: z.string()}).optional(),
	/** Version of the configuration in force; in every message. */
	configurationVersion: z.number().default(0),
	hints: z.array(hintSchema).default([]),
	loads: z.array(loadSchema).default([]),
	usage: usageReportSchema.optional(),
	/** Requests the configuration; the number is the version that the sender has. */
	pullConfiguration: z.object({baseVersion: z.number().default(0)}).optional(),
	difference: differenceSchema.optional(),
	/** Requests the host list, which is sent only if the receiver's list is clearly newer. */
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

/** A hint as it is sent. */
export type Hint = z.output<typeof hintSchema>;

/** Running totals of some workspaces. */
export type UsageReport = z.output<typeof usageReportSchema>;

type Field = {type: string; id: number; rule?: 'repeated'; options?: {packed: boolean}};

const singleField = (id: number, type: string): Field => ({id, type});
const repeatedField = (id: number, type: string): Field => ({id, type, rule: 'repeated'});
const packedField = (id: number): Field => ({
	id, type: 'uint64', rule: 'repeated', options: {packed: true},
});

const messages = {
	Hello: {fields: {hostName: singleField(1, 'string'), incarnation: singleField(2, 'string'), availabilityZone: singleField(3, 'string')}},
	Hint: {
		fields: {
			kind: singleField(1, 'string'), key: singleField(2, 'string'), stamp: singleField(3, 'uint64'), value: singleField(4, 'string'), ageMilliseconds: singleField(5, 'uint64'),
		},
	},
	Load: {fields: {service: singleField(1, 'string'), requests: singleField(2, 'uint64'), tokens: singleField(3, 'uint64')}},
	Usage: {
		fields: {
			names: repeatedField(1, 'string'), positions: packedField(2), deliveredTokens: packedField(3), extraTokens: packedField(4), calls: packedField(5),
		},
	},
	PullConfiguration: {fields: {baseVersion: singleField(1, 'uint64')}},
	Difference: {
		fields: {
			baseVersion: singleField(1, 'uint64'),
			version: singleField(2, 'uint64'),
			digest: singleField(3, 'string'),
			services: repeatedField(4, 'string'),
			workspaces: repeatedField(5, 'string'),
			removedServices: repeatedField(6, 'string'),
			removedWorkspaces: repeatedField(7, 'string'),
		},
	},
	PullHosts: {fields: {ageMilliseconds: singleField(1, 'uint64')}},
	Hosts: {fields: {json: singleField(1, 'string'), ageMilliseconds: singleField(2, 'uint64')}},
	Message: {
		fields: {
			hello: singleField(1, 'Hello'),
			configurationVersion: singleField(2, 'uint64'),
			hints: repeatedField(3, 'Hint'),
			loads: repeatedField(4, 'Load'),
			usage: singleField(5, 'Usage'),
			pullConfiguration: singleField(6, 'PullConfiguration'),
			difference: singleField(7, 'Difference'),
			pullHosts: singleField(8, 'PullHosts'),
			hosts: singleField(9, 'Hosts'),
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

/** Metadata field that contains the shared peer key. */
export const peerKeyField = 'azuretack-peer-key';

/** The only RPC method between routers: a bidirectional stream of messages. */
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The loader types messages as plain objects; the schema checks each one.
export const exchangeMethod = (definitions['azuretack.Peers'] as unknown as {Exchange: MethodDefinition<PeerMessageParts, Record<string, unknown>>}).Exchange;
