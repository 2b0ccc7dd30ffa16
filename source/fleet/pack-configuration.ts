/**
 * Packs configurations for other gateways.
 *
 * Answers configurations of thousands of routes that dozens of gateways of a zone ask one other for, over links as slow as 7 Mbit/s: each
 * is compressed once, to about a tenth.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {
	err, ok, type Result,
} from 'neverthrow';
import {routingConfigurationSchema, type RoutingConfiguration} from '../routing/mod.ts';

/** Largest configuration, in bytes before it is packed. */
const largestBytes = 67_108_864;

/** Speed over size: the work is done on small hosts while callers wait. */
const compression = {level: 1};

/** Packed forms of configurations, which never change. */
const packed = new WeakMap<RoutingConfiguration, string>();

/**
 * Packs a configuration; the same one is packed once.
 *
 * @param configuration The configuration.
 * @returns Base64 of the compressed JSON.
 * @example
 * ```ts
 * unpackConfiguration(packConfiguration(configuration)); // ok(configuration)
 * ```
 */
export function packConfiguration(configuration: RoutingConfiguration): string {
	const known = packed.get(configuration);
	if (known !== undefined) {
		return known;
	}

	const text = gzipSync(JSON.stringify(configuration), compression).toString('base64');
	packed.set(configuration, text);
	return text;
}

/**
 * Unpacks a configuration of another gateway.
 *
 * @param text What that gateway sent.
 * @returns The configuration, or why it cannot be read.
 */
export function unpackConfiguration(text: string): Result<RoutingConfiguration, string> {
	try {
		const json = gunzipSync(Buffer.from(text, 'base64'), {maxOutputLength: largestBytes}).toString();
		const configuration = routingConfigurationSchema.parse(JSON.parse(json));
		packed.set(configuration, text);
		return ok(configuration);
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}
