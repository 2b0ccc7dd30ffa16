/**
 * Settings of the router daemon.
 *
 * @module
 */
import * as z from 'zod';
import {hostResourcesSchema} from './host-resources.ts';

/** An IP address and port, `address:port`. */
export const addressSchema = z.string().regex(/^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}$/v, 'expected an IP number and a port, such as "10.0.0.1:8080"');

const keySchema = z.string().min(16, 'expected at least 16 characters');

/** Schema of the router's settings file; the examples folder documents each field. */
export const routerSettingsSchema = z.strictObject({
	hostName: z.string().min(1),
	availabilityZone: z.string().min(1),
	region: z.string().min(1).default('home'),
	callers: z.strictObject({
		listen: addressSchema,
		entryTimeToLiveSeconds: z.number().positive().max(600).default(10),
		takeoverGraceMilliseconds: z.number().int().nonnegative().default(5000),
		largestBodyBytes: z.number().int().positive().default(4_194_304),
		cursorKeys: z.array(keySchema).min(1, 'expected at least one key; the first one signs'),
	}),
	peers: z.strictObject({
		listen: addressSchema,
		key: keySchema,
		sameZone: z.number().int().nonnegative().default(4),
		otherZones: z.number().int().nonnegative().default(4),
		/** Peers queried while no host list is known, so that a router can start while the platform is down. */
		seeds: z.array(addressSchema).default([]),
		heartbeatMilliseconds: z.number().int().positive().default(1000),
		usageHintMilliseconds: z.number().int().positive().default(5000),
		loadRadiusTokens: z.number().int().nonnegative().default(0),
	}),
	operators: z.strictObject({
		listen: addressSchema,
		key: keySchema,
	}),
	platform: z.strictObject({
		url: z.url(),
		timeoutMilliseconds: z.number().int().positive().default(2000),
		hostListMilliseconds: z.number().int().positive().default(1000),
		configurationMilliseconds: z.number().int().positive().default(3000),
		usageMilliseconds: z.number().int().positive().default(5000),
	}),
	placement: z.strictObject({
		endpointsPerService: z.number().int().positive().default(48),
	}).prefault({}),
	admission: z.strictObject({
		enabled: z.boolean().default(true),
		queuedRequests: z.number().int().positive().default(2000),
		queueMilliseconds: z.number().int().positive().default(2500),
		retryShare: z.number().min(0).max(1).default(0.2),
	}).prefault({}),
	duties: z.strictObject({
		takePart: z.boolean().default(true),
		leaseMilliseconds: z.number().int().positive().default(15_000),
		lookMilliseconds: z.number().int().positive().default(5000),
		leaseReadsPerSecond: z.number().positive().default(10),
		longestOrderMilliseconds: z.number().int().positive().default(120_000),
		reconcileMilliseconds: z.number().int().positive().default(5000),
		settleMilliseconds: z.number().int().positive().default(3000),
		engineReadsPerSecond: z.number().positive().default(5),
		ordersAtOnce: z.number().int().positive().default(4),
	}).prefault({}),
	/** Resources of the host that the process may use. */
	resources: hostResourcesSchema,
	log: z.strictObject({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});

/** Validated settings of one router. */
export type RouterSettings = z.output<typeof routerSettingsSchema>;
