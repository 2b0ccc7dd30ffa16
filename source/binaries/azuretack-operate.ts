#!/usr/bin/env node
/**
 * The operator command line: shows the state of routers, requests and usage, settles claims and drains hosts.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import meow from 'meow';
import {ok} from 'neverthrow';
import {
	OperatorClient, operateCommands, listEntryHosts, type CommandContext,
} from '../operations/mod.ts';
import {PlatformClient} from '../table-service/mod.ts';

const command = meow(`
	Usage
	  $ azuretack-operate --platform URL status
	  $ azuretack-operate --platform URL explain REQUEST
	  $ azuretack-operate --platform URL usage
	  $ azuretack-operate --platform URL drain HOST
	  $ azuretack-operate --platform URL claim WORKSPACE SERVICE KEY
	  $ azuretack-operate --platform URL --as NAME settle WORKSPACE SERVICE KEY yes|no

	Options
	  --platform URL      Address of the platform
	  --host ADDRESS      Operator port to ask instead of those on the host list; may be repeated
	  --operator-key KEY  Key of the operators
	  --as NAME           Who settles a claim
	  --router-ended      The router that a claim names has ended for certain
	  --json              Write JSON for programs

	Environment
	  AZURETACK_OPERATOR_KEY  Key of the operators

	Exit code
	  0 done, 1 failed, 3 done, but some hosts gave no answer
`, {
	importMeta: import.meta,
	allowUnknownFlags: false,
	flags: {
		platform: {type: 'string'},
		host: {type: 'string', isMultiple: true, default: []},
		operatorKey: {type: 'string'},
		as: {type: 'string'},
		routerEnded: {type: 'boolean', default: false},
		json: {type: 'boolean', default: false},
	},
});

/** Commands that need only the host list from the platform. */
const hostCommands = new Set(['status', 'explain', 'drain']);

const exitCodes = {done: 0, failed: 1, partial: 3};

async function run(): Promise<number> {
	const [name = '', ...parameters] = command.input;
	const found = Object.hasOwn(operateCommands, name) ? operateCommands[name] : undefined;
	if (found?.parameters.length !== parameters.length) {
		console.error(found ? `expected: ${[name, ...found.parameters].join(' ')}` : `unknown command "${name}"; known: ${Object.keys(operateCommands).join(', ')}`);
		return exitCodes.failed;
	}

	const {platform: url, host: addresses, operatorKey} = command.flags;
	if (!URL.canParse(url ?? '') && (addresses.length === 0 || !hostCommands.has(name))) {
		console.error('--platform needs the address of the platform, such as http://10.0.0.9:7000');
		return exitCodes.failed;
	}

	const platform = new PlatformClient({url: url ?? 'http://127.0.0.1'});
	const client = new OperatorClient({key: operatorKey ?? process.env.AZURETACK_OPERATOR_KEY ?? ''});
	const hosts: CommandContext['hosts'] = async () => {
		if (addresses.length > 0) {
			return ok(addresses.map(address => ({name: address, address})));
		}

		return listEntryHosts(platform);
	};

	const report = await found.run({
		platform, client, hosts, operator: command.flags.as, routerEnded: command.flags.routerEnded, wallClock: () => Date.now(), newName: () => randomUUID(),
	}, parameters);
	await Promise.all([platform.close(), client.close()]);
	if (report.isErr()) {
		console.error(report.error);
		return exitCodes.failed;
	}

	const {value, text, failures} = report.value;
	console.log(command.flags.json ? JSON.stringify(value, undefined, '\t') : text);
	return failures.length > 0 ? exitCodes.partial : exitCodes.done;
}

process.exitCode = await run();
