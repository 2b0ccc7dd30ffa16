#!/usr/bin/env -S node --max-semi-space-size=8
/**
 * The router daemon: reads its settings and runs the router until it receives a stop signal.
 *
 * @module
 */
import process from 'node:process';
import meow from 'meow';
import {startRouter} from '../router/mod.ts';
import {loadSettings, routerSettingsSchema} from '../settings/mod.ts';

const command = meow(`
	Usage
	  $ azuretack-router --settings FILE

	Options
	  --settings FILE  Settings, JSON with comments
	  --check          Only check the settings

	Signals
	  SIGTERM, SIGINT  Leave: finish every request in progress, then exit
`, {
	importMeta: import.meta,
	flags: {settings: {type: 'string', isRequired: true}, check: {type: 'boolean', default: false}},
});

const loaded = await loadSettings(command.flags, routerSettingsSchema);
if (loaded.isErr()) {
	process.exit(loaded.error);
}

const settings = loaded.value;

const router = await startRouter(settings);
const onSignal = () => {
	void router.stop();
};

process.on('SIGTERM', onSignal);
process.on('SIGINT', onSignal);
await router.stopped;
process.exit(0);
