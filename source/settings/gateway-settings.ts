/**
 * Settings of the gateway daemon.
 *
 * @module
 */
import * as z from 'zod';
import {addressSchema} from './router-settings.ts';

/** Schema of the gateway's settings file; `deploy/gateway.template.jsonc` shows each field. */
export const gatewaySettingsSchema = z.object({
	hostName: z.string().min(1),
	availabilityZone: z.string().min(1),
	region: z.string().min(1),
	/** Where the daemon listens. */
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
	/** Gateways that are asked first after a start; they may be gone. */
	seeds: z.array(addressSchema).default([]),
	bounds: z.object({
		/** Time within which a new configuration is in force, in milliseconds. */
		configurationMilliseconds: z.number().positive().default(2000),
		/** Time within which an endpoint that leaves gets no more requests, in milliseconds. */
		leavingMilliseconds: z.number().positive().default(2000),
		/** Time after which a key that was taken away is served nowhere, in milliseconds. */
		revokedKeyMilliseconds: z.number().positive().default(5000),
		/** Time from a request to stop until the process is killed, in seconds. */
		stopSeconds: z.number().positive().default(8),
		/** Retries allowed for each request to a service. */
		retryRatio: z.number().nonnegative().default(0.8),
		/** Retries allowed beyond that in a window, by all gateways together. */
		retrySlack: z.number().nonnegative().default(300),
		retryWindowSeconds: z.number().positive().default(10),
		/** Time for which callers keep an answer that names entries, in seconds. */
		entriesSeconds: z.number().positive().default(5),
	}).prefault({}),
	answers: z.object({
		/** Bytes of one endpoint's answer that are held; a larger one is passed on as it comes. */
		heldBytes: z.number().int().positive().default(262_144),
		/** Bytes of all such answers that are held together. */
		allHeldBytes: z.number().int().positive().default(8_388_608),
		/** Larger answers that are passed on as they come at a time; further ones are left. */
		passedOnAtOnce: z.number().int().positive().default(96),
	}).prefault({}),
	log: z.object({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});

/** Checked settings of one gateway. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
