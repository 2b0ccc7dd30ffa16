/**
 * Command-line arguments of the gateway daemon.
 *
 * @module
 */
import process from 'node:process';

/** Parsed command-line arguments. */
export type GatewayArguments = {
	/** Path of the settings file. */
	settings: string;
	/** Whether to only check the settings. */
	check: boolean;
};

const help = `
	Usage
	  $ azuretack-gateway [--settings FILE]

	Options
	  --settings FILE  Settings, JSON with comments; by default the file that AZURETACK_SETTINGS names
	  --check          Only check the settings

	Signals
	  SIGTERM, SIGINT  Stop: finish requests in progress, then exit
	  SIGHUP           Read the settings again and log their faults; they hold from the next start
`;

/** Reads the command-line arguments. The parser library is loaded only if there are any; hosts start the daemon without arguments. */
export async function readGatewayArguments(): Promise<GatewayArguments> {
	const defaults = {settings: process.env.AZURETACK_SETTINGS ?? '', check: false};
	if (process.argv.length <= 2) {
		return defaults;
	}

	const {default: meow} = await import('meow');
	return meow(help, {
		importMeta: import.meta,
		flags: {settings: {type: 'string', default: defaults.settings}, check: {type: 'boolean', default: defaults.check}},
	}).flags;
}
