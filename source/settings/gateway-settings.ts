/**
 * Settings of the gateway daemon.
 *
 * @module
 */
import * as z from 'zod';
import {hostResourcesSchema} from './host-resources.ts';
import {addressSchema} from './router-settings.ts';

/** Schema of the gateway's settings file; `deploy/gateway.template.jsonc` shows each field. */
export const gatewaySettingsSchema = z.object({
	hostName: z.string().min(1),
	availabilityZone: z.string().min(1),
	region: z.string().min(1),
	/** Addresses that the daemon listens on. */
	listen: z.object({
		callers: addressSchema,
		readiness: addressSchema,
		entries: addressSchema,
		peers: addressSchema,
		metrics: addressSchema,
	}),
	/** Addresses that callers and other gateways use, where they differ from those listened on. */
	advertise: z.object({
		callers: addressSchema.optional(),
		peers: addressSchema.optional(),
	}).prefault({}),
	/** Address of the platform's store. */
	store: addressSchema,
	/** Gateways that are queried first after a start; they may no longer exist. */
	seeds: z.array(addressSchema).default([]),
	bounds: z.object({
		/** Time within which a new configuration is in force, in milliseconds. */
		configurationMilliseconds: z.number().positive().default(2000),
		/** Time after which a leaving endpoint receives no more requests, in milliseconds. */
		leavingMilliseconds: z.number().positive().default(2000),
		/** Interval at which endpoints write their entries in the store, in milliseconds. */
		endpointHeartbeatMilliseconds: z.number().positive().default(1200),
		/** Time after which no gateway accepts a revoked key, in milliseconds. */
		revokedKeyMilliseconds: z.number().positive().default(5000),
		/** Time between the stop signal and the forced kill of the process, in seconds. */
		stopSeconds: z.number().positive().default(8),
		/** Retries allowed for each request to a service. */
		retryRatio: z.number().nonnegative().default(0.8),
		/** Additional retries allowed in a window, over all gateways together. */
		retrySlack: z.number().nonnegative().default(300),
		retryWindowSeconds: z.number().positive().default(10),
		/** Share of a service's requests that a new version may get before it is accepted, and requests beyond it, over all gateways together. */
		exposeShare: z.number().min(0).max(1).default(0.1),
		exposeSlack: z.number().nonnegative().default(0),
		/** Time after many bad answers of a new version within which no gateway sends requests to it, in milliseconds. */
		rollbackMilliseconds: z.number().positive().default(5000),
		/** Time for which callers cache the list of entries, in seconds. */
		entriesSeconds: z.number().positive().default(5),
	}).prefault({}),
	/** Resources of the host that the process may use. */
	resources: hostResourcesSchema,
	answers: z.object({
		/** Largest response of an endpoint that is buffered, in bytes; a larger one is streamed. */
		heldBytes: z.number().int().positive().default(262_144),
		/** Bytes buffered for all such responses together. */
		allHeldBytes: z.number().int().positive().default(8_388_608),
		/** Maximum number of larger responses streamed at the same time; further ones are abandoned. */
		passedOnAtOnce: z.number().int().positive().default(96),
	}).prefault({}),
	/** Requests that arrive before the gateway has its initial state, where they are held. */
	start: z.object({
		/** Largest number of requests that are held. */
		heldRequests: z.number().int().nonnegative().default(256),
		/** Largest size of the requests that are held, in bytes. */
		heldBytes: z.number().int().nonnegative().default(4_194_304),
		/** Time for which requests are held at most, and for which a gateway waits for its initial state, in milliseconds. */
		heldMilliseconds: z.number().positive().default(3000),
	}).prefault({}),
	/** Names of the contracts in force at the deployment; they switch parts of the gateway on. */
	contracts: z.array(z.string()).default([]),
	log: z.object({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});

/** Validated settings of one gateway. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
