/**
 * Arguments of the gateway's program.
 *
 * @module
 */
import process from 'node:process';

/** What the program is told when it is started. */
export type GatewayArguments = {
	/** File with the settings. */
	settings: string;
	/** Whether only to check them. */
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

/** Reads the arguments. Without any, as hosts start the program, their library is not loaded. */
export async function readGatewayArguments(): Promise<GatewayArguments> {
	const usual = {settings: process.env.AZURETACK_SETTINGS ?? '', check: false};
	if (process.argv.length <= 2) {
		return usual;
	}

	const {default: meow} = await import('meow');
	return meow(help, {
		importMeta: import.meta,
		flags: {settings: {type: 'string', default: usual.settings}, check: {type: 'boolean', default: usual.check}},
	}).flags;
}
