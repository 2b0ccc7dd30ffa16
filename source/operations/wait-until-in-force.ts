/**
 * Waits until every router has a version of the configuration in force.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {pause} from '../supervision/mod.ts';
import {type HostFailure, type OperatedHost, type OperatorClient} from './operator-client.ts';

/** Time between two questions to a host that is behind, in milliseconds. */
const askAgainMilliseconds = 250;

const versionSchema = z.object({configurationVersion: z.number().int()});

/** Options of {@linkcode waitUntilInForce}. */
export type WaitUntilInForceOptions = {
	client: OperatorClient;
	/** Reads the hosts to ask; tried again until it gives an answer. */
	hosts: () => Promise<Result<OperatedHost[], string>>;
	version: number;
	/** Returns a time that only rises, in milliseconds. */
	clock: () => number;
	/** Time at which to give up, on that clock. */
	until: number;
};

/** How far a version has come. */
export type Spread = {
	/** Number of hosts where the version, or a higher one, is in force. */
	inForce: number;
	hosts: number;
	/** Hosts that are behind or gave no answer when last asked. */
	behind: HostFailure[];
};

/**
 * Asks the hosts again and again until all have the version or the time is over.
 *
 * @param options Hosts, version and time.
 * @returns How far the version has come, or why the hosts are not known.
 * @example
 * ```ts
 * const spread = await waitUntilInForce({client, hosts: async () => readEntryHosts(platform), version: 42, clock, until: clock() + 18_000});
 * ```
 */
export async function waitUntilInForce(options: WaitUntilInForceOptions): Promise<Result<Spread, string>> {
	let hosts = await options.hosts();
	while (hosts.isErr() && options.clock() < options.until) {
		await pause(askAgainMilliseconds);
		hosts = await options.hosts();
	}

	return hosts.isErr() ? err(hosts.error) : ok(await askUntilInForce(options, hosts.value));
}

async function askUntilInForce(options: WaitUntilInForceOptions, hosts: OperatedHost[]): Promise<Spread> {
	const {client, version, clock, until} = options;
	const inForce = new Set<string>();
	for (;;) {
		const remaining = hosts.filter(({name}) => !inForce.has(name));
		const {answers, failures} = await client.askAll(remaining, {path: '/status', schema: versionSchema});
		for (const {host, answer} of answers) {
			if (answer.configurationVersion >= version) {
				inForce.add(host);
			} else {
				failures.push({host, message: `has version ${answer.configurationVersion} in force`});
			}
		}

		if (failures.length === 0 || clock() >= until) {
			return {inForce: inForce.size, hosts: hosts.length, behind: failures};
		}

		await pause(Math.min(askAgainMilliseconds, Math.max(0, until - clock())));
	}
}
