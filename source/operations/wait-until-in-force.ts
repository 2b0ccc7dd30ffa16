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
import {type HostFailure, type OperatorHost, type OperatorClient} from './operator-client.ts';

/** Time between two status requests to a host that is behind, in milliseconds. */
const pollMilliseconds = 250;

const versionSchema = z.object({configurationVersion: z.number().int()});

/** Options of {@linkcode waitUntilInForce}. */
export type WaitUntilInForceOptions = {
	client: OperatorClient;
	/** Reads the hosts to query; retried until it succeeds. */
	hosts: () => Promise<Result<OperatorHost[], string>>;
	version: number;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
	/** Time on that clock at which to give up. */
	until: number;
};

/** Progress of the rollout of a version. */
export type RolloutProgress = {
	/** Number of hosts where the version, or a higher one, is in force. */
	inForce: number;
	hosts: number;
	/** Hosts that were behind or did not respond when last queried. */
	behind: HostFailure[];
};

/**
 * Polls the hosts until all have the version in force or the time is up.
 *
 * @param options Hosts, version and time limit.
 * @returns The progress of the rollout, or why the hosts could not be read.
 * @example
 * ```ts
 * const spread = await waitUntilInForce({client, hosts: async () => listEntryHosts(platform), version: 42, clock, until: clock() + 18_000});
 * ```
 */
export async function waitUntilInForce(options: WaitUntilInForceOptions): Promise<Result<RolloutProgress, string>> {
	let hosts = await options.hosts();
	while (hosts.isErr() && options.clock() < options.until) {
		await pause(pollMilliseconds);
		hosts = await options.hosts();
	}

	return hosts.isErr() ? err(hosts.error) : ok(await pollUntilInForce(options, hosts.value));
}

async function pollUntilInForce(options: WaitUntilInForceOptions, hosts: OperatorHost[]): Promise<RolloutProgress> {
	const {client, version, clock, until} = options;
	const inForce = new Set<string>();
	for (;;) {
		const remaining = hosts.filter(({name}) => !inForce.has(name));
		const {answers, failures} = await client.requestAll(remaining, {path: '/status', schema: versionSchema});
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

		await pause(Math.min(pollMilliseconds, Math.max(0, until - clock())));
	}
}
