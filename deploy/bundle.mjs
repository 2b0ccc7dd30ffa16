/**
 * Bundles the gateway into one file, so that its start reads and compiles nothing that it does not use.
 *
 * @module
 */
import {build} from 'esbuild';

await build({
	entryPoints: ['source/binaries/azuretack-gateway.ts'],
	outfile: 'target/azuretack-gateway.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	mainFields: ['module', 'main'],
	minify: false,
	legalComments: 'none',
	// CommonJS dependencies call `require` for Node's own modules.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
});
