#!/usr/bin/env node
/**
 * Collects service and workspaces files, checks all of them and publishes one version.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import meow from 'meow';
import {collectFiles, publish} from '../configuration/mod.ts';
import {PlatformClient} from '../platform/mod.ts';
import {formatFault} from '../settings/mod.ts';

const command = meow(`
	Usage
	  $ azuretack-publish --platform URL FOLDER ...
	  $ azuretack-publish --check FOLDER ...

	Options
	  --platform URL  Address of the platform
	  --check         Only check the files
`, {
	importMeta: import.meta,
	flags: {platform: {type: 'string'}, check: {type: 'boolean', default: false}},
});

const files = await collectFiles(command.input);
if (files.isErr()) {
	for (const fault of files.error) {
		console.error(formatFault(fault));
	}

	process.exit(1);
}

if (command.flags.check) {
	console.log(`${files.value.length} files, no faults`);
	process.exit(0);
}

const platform = new PlatformClient({url: command.flags.platform ?? ''});
const published = await publish({platform, files: files.value, token: randomUUID()});
await platform.close();
if (published.isErr()) {
	console.error(`${published.error.kind}: ${published.error.message}`);
	process.exit(1);
}

console.log(`accepted as ${published.value.version}`);
