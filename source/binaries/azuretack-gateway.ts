#!/usr/bin/env node
/**
 * The gateway daemon's program: reads its settings and runs the gateway until a signal asks it to stop.
 *
 * @module
 */
import process from 'node:process';
import {isDeepStrictEqual} from 'node:util';
import meow from 'meow';
import {startGateway} from '../gateway/mod.ts';
import {gatewaySettingsSchema} from '../settings/gateway-settings.ts';
import {loadSettings} from '../settings/load-settings.ts';
import {formatFault, readDocument} from '../settings/read-document.ts';
import {LineWriter} from '../telemetry/line-writer.ts';
import {createLogger} from '../telemetry/logger.ts';

const command = meow(`
	Usage
	  $ azuretack-gateway [--settings FILE]

	Options
	  --settings FILE  Settings, JSON with comments; by default the file that AZURETACK_SETTINGS names
	  --check          Only check the settings

	Signals
	  SIGTERM, SIGINT  Stop: finish requests in progress, then exit
	  SIGHUP           Read the settings again and log their faults; they hold from the next start
`, {
	importMeta: import.meta,
	flags: {settings: {type: 'string', default: process.env.AZURETACK_SETTINGS ?? ''}, check: {type: 'boolean', default: false}},
});

const loaded = await loadSettings(command.flags, gatewaySettingsSchema);
if (loaded.isErr()) {
	process.exit(loaded.error);
}

const settings = loaded.value;

const writer = new LineWriter();
const logger = createLogger('gateway', {
	level: settings.log.level,
	fields: {host: settings.hostName},
	write(line) {
		writer.write(line);
	},
});
const gateway = await startGateway(settings, logger);
const onSignal = async () => {
	await gateway.stop();
	writer.end();
	process.exit(0);
};

const onSettingsChanged = async () => {
	const changed = await readDocument(command.flags.settings, gatewaySettingsSchema);
	if (changed.isErr()) {
		logger.error('settings have faults and stay as they are', {faults: changed.error.map(fault => formatFault(fault))});
		return;
	}

	// Addresses and bounds hold until the next start; nothing else is in the file.
	logger.info('settings read again', {changed: !isDeepStrictEqual(changed.value, settings)});
};

process.on('SIGHUP', () => {
	void onSettingsChanged();
});
for (const signal of ['SIGTERM', 'SIGINT']) {
	process.on(signal, () => {
		void onSignal();
	});
}
