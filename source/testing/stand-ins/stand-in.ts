/**
 * The program that runs one stand-in as a process of its own: `stand-in.js KIND OPTIONS`, with the options as JSON.
 *
 * @module
 */
import process from 'node:process';
import {engineOptionsSchema} from './engine-options.ts';
import {startEngineStandIn} from './engine-stand-in.ts';
import {proxyOptionsSchema, startFaultProxy} from './fault-proxy.ts';
import {idleEnginesOptionsSchema, startIdleEngines} from './idle-engines.ts';
import {plainOptionsSchema, startPlainStandIn} from './plain-stand-in.ts';
import {platformOptionsSchema, startPlatformStandIn} from './platform-stand-in.ts';

const starters: Record<string, (options: unknown) => Promise<void>> = {
	engine: async options => startEngineStandIn(engineOptionsSchema.parse(options)),
	'idle-engines': async options => startIdleEngines(idleEnginesOptionsSchema.parse(options)),
	plain: async options => startPlainStandIn(plainOptionsSchema.parse(options)),
	platform: async options => startPlatformStandIn(platformOptionsSchema.parse(options)),
	proxy: async options => startFaultProxy(proxyOptionsSchema.parse(options)),
};

const [kind = '', options = '{}'] = process.argv.slice(2);
const starter = starters[kind];
if (!starter) {
	throw new Error(`unknown stand-in "${kind}"; known: ${Object.keys(starters).join(', ')}`);
}

await starter(JSON.parse(options));
console.log('ready');
