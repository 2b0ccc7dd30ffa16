/**
 * Keeps the host directory up to date with the platform's host list.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type PlatformClient} from '../table-service/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type HostChange, type HostDirectory} from './host-directory.ts';

/** Options of {@linkcode followHosts}. */
export type FollowHostsOptions = {
	platform: PlatformClient;
	directory: HostDirectory;
	logger: Logger;
	/** Mean polling interval, in milliseconds. */
	periodMilliseconds: number;
	/** Called after each read with the known hosts whose listed state changed; empty when none did. */
	onChanges: (changes: HostChange[]) => void;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/**
 * Polls the host list; when a read fails, the last list stays in use.
 *
 * @param options Platform, directory and polling interval.
 * @param signal Stops the task.
 * @example
 * ```ts
 * supervisor.start('hosts', signal => followHosts(options, signal));
 * ```
 */
export async function followHosts(options: FollowHostsOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {platform, directory, logger, periodMilliseconds, random, wallClock, onChanges} = options;
	await poll(async () => platform.hosts(), {periodMilliseconds, random, signal}).observe(hosts => {
		if (hosts.isErr()) {
			logger.warn('failed to read the host list', hosts.error);
			return;
		}

		onChanges(directory.update(hosts.value, wallClock()));
	});
	return ok();
}
