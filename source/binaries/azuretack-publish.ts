#!/usr/bin/env node
/**
 * Collects and checks service and workspaces files, publishes them as one version and waits until it is in force.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import meow from 'meow';
import {
	collectFiles, isVersionToken, publish, settlePublication,
} from '../configuration/mod.ts';
import {
	OperatorClient, describeFailure, describeSettlement, publishExitCodes, listEntryHosts, waitUntilInForce,
} from '../operations/mod.ts';
import {PlatformClient} from '../table-service/mod.ts';
import {formatFault} from '../settings/mod.ts';

const command = meow(`
	Usage
	  $ azuretack-publish --platform URL FOLDER ...
	  $ azuretack-publish --platform URL --remove NAME
	  $ azuretack-publish --platform URL --settle TOKEN
	  $ azuretack-publish --check FOLDER ...

	Options
	  --platform URL      Address of the platform
	  --check             Only check the files
	  --base VERSION      Version that the files started from (default: the one in force now)
	  --remove NAME       Remove a service, or a workspaces file as workspaces/FILE; may be repeated
	  --settle TOKEN      Find out what became of a publication whose outcome was unknown
	  --operator-key KEY  Key of the operators, to ask the routers whether the version is in force
	  --wait SECONDS      Time to wait until it is in force everywhere (default 18)
	  --patience SECONDS  Time to wait for a store that gives no answer (default 20)

	Environment
	  AZURETACK_OPERATOR_KEY  Key of the operators

	Exit code
	  0 accepted, 1 nothing published, 3 accepted but not in force everywhere, 4 outcome unknown
`, {
	importMeta: import.meta,
	allowUnknownFlags: false,
	flags: {
		platform: {type: 'string'},
		check: {type: 'boolean', default: false},
		base: {type: 'number'},
		remove: {type: 'string', isMultiple: true, default: []},
		settle: {type: 'string'},
		operatorKey: {type: 'string'},
		wait: {type: 'number', default: 18},
		patience: {type: 'number', default: 20},
	},
});

const {flags} = command;
const clock = () => performance.now();

async function run(): Promise<number> {
	if (!flags.check && !URL.canParse(flags.platform ?? '')) {
		console.error('--platform needs the address of the platform, such as http://10.0.0.9:7000');
		return publishExitCodes.nothingPublished;
	}

	if (flags.settle !== undefined) {
		return withPlatform(async platform => settle(platform, flags.settle!));
	}

	const files = await collectFiles(command.input);
	if (files.isErr()) {
		console.error(files.error.map(fault => formatFault(fault)).join('\n'));
		return publishExitCodes.nothingPublished;
	}

	if (command.input.length === 0 && flags.remove.length === 0) {
		console.error('name a folder, or --remove NAME');
		return publishExitCodes.nothingPublished;
	}

	if (flags.check) {
		console.log(`${files.value.length} files, no faults`);
		return publishExitCodes.accepted;
	}

	return withPlatform(async platform => {
		const published = await publish({
			platform,
			files: files.value,
			remove: flags.remove.map(name => name.includes('/') ? name : `service/${name}`),
			base: flags.base,
			createPublicationId: () => randomUUID(),
			clock,
			storeTimeoutMilliseconds: flags.patience * 1000,
		});
		if (published.isErr()) {
			const {text, exitCode} = describeFailure(published.error, flags.platform!);
			console.error(text);
			return exitCode;
		}

		const {version, changed} = published.value;
		return reportInForce(platform, version, changed ? `accepted as ${version}` : `no change, ${version} stays`);
	});
}

async function settle(platform: PlatformClient, token: string): Promise<number> {
	if (!isVersionToken(token)) {
		console.error(`"${token}" is not a token that azuretack-publish names`);
		return publishExitCodes.nothingPublished;
	}

	const settled = await settlePublication(platform, token, {clock, until: clock() + (flags.patience * 1000)});
	const {text, exitCode} = describeSettlement(settled, token, flags.platform!);
	if (settled.isOk() && settled.value.kind === 'accepted') {
		return reportInForce(platform, settled.value.version, text);
	}

	console.error(text);
	return exitCode;
}

/** Waits until every router has the version in force, and prints the result. */
async function reportInForce(platform: PlatformClient, version: number, accepted: string): Promise<number> {
	const key = flags.operatorKey ?? process.env.AZURETACK_OPERATOR_KEY;
	if (key === undefined) {
		console.log(`${accepted}; without an operator key the routers were not asked whether it is in force`);
		return publishExitCodes.accepted;
	}

	const until = clock() + (flags.wait * 1000);
	const client = new OperatorClient({key});
	const waited = await waitUntilInForce({
		client, version, clock, until, hosts: async () => listEntryHosts(platform),
	});
	await client.close();
	if (waited.isErr()) {
		console.log(`${accepted}; whether it is in force is not known: ${waited.error}`);
		return publishExitCodes.notInForceEverywhere;
	}

	const {inForce, hosts, behind} = waited.value;
	console.log(`${accepted}, in force on ${inForce} of ${hosts}`);
	for (const {host, message} of behind) {
		console.error(`${host} ${message}`);
	}

	return behind.length === 0 ? publishExitCodes.accepted : publishExitCodes.notInForceEverywhere;
}

async function withPlatform(use: (platform: PlatformClient) => Promise<number>): Promise<number> {
	const platform = new PlatformClient({url: flags.platform!});
	try {
		return await use(platform);
	} finally {
		await platform.close();
	}
}

process.exitCode = await run();
