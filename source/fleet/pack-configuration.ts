/**
 * Compresses configurations for transfer to other gateways.
 *
 * Dozens of gateways of a zone may request a configuration of thousands of routes from one gateway, over links as slow as 7 Mbit/s. Each
 * configuration is therefore compressed, to about a tenth, and only once.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {
	err, ok, type Result,
} from 'neverthrow';
import {routingConfigurationSchema, type RoutingConfiguration} from '../routing/mod.ts';

/** Largest size of an uncompressed configuration, in bytes. */
const largestBytes = 67_108_864;

/** Favours speed over size, since small hosts compress while callers wait. */
const compression = {level: 1};

/** Cache of packed configurations; a configuration object never changes. */
const packed = new WeakMap<RoutingConfiguration, string>();

/**
 * Packs a configuration; the result is cached for each configuration object.
 *
 * @param configuration The configuration.
 * @returns Base64 of the compressed JSON.
 * @example
 * ```ts
 * unpackConfiguration(packConfiguration(configuration)); // ok(configuration)
 * ```
 */
export function packConfiguration(configuration: RoutingConfiguration): string {
	const cached = packed.get(configuration);
	if (cached !== undefined) {
		return cached;
	}

	const text = gzipSync(JSON.stringify(configuration), compression).toString('base64');
	packed.set(configuration, text);
	return text;
}

/**
 * Unpacks a configuration that another gateway sent.
 *
 * @param text The packed configuration.
 * @returns The configuration, or the reason why it cannot be unpacked.
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
