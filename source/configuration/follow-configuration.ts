/**
 * Keeps a router's configuration up with the platform's table.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type PlatformClient} from '../platform/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ConfigurationInForce} from './configuration-in-force.ts';
import {type Configuration} from './configuration.ts';
import {loadVersion, readHead, type LoadFailure} from './stored-configuration.ts';

/** Options of {@linkcode followConfiguration}. */
export type FollowConfigurationOptions = {
	platform: PlatformClient;
	inForce: ConfigurationInForce;
	logger: Logger;
	/** Mean time between two reads of the head row, in milliseconds. */
	periodMilliseconds: number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

/**
 * Reads the head row again and again, and offers each higher version.
 *
 * @param options Platform, holder and period.
 * @param signal Ends the task.
 * @example
 * ```ts
 * supervisor.start('configuration', signal => followConfiguration(options, signal));
 * ```
 */
export async function followConfiguration(options: FollowConfigurationOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {platform, inForce, logger, periodMilliseconds, random} = options;
	const cache = new Map<string, string>();
	await poll(async () => loadNewer(platform, inForce.version, cache), {periodMilliseconds, random, signal}).observe(loaded => {
		if (loaded.isErr()) {
			if (loaded.error.kind === 'unreadable') {
				inForce.markUnreadable(loaded.error.version);
			}

			logger.warn('configuration not read', loaded.error);
			return;
		}

		if (loaded.value && inForce.offer(loaded.value)) {
			logger.info('configuration in force', {version: loaded.value.version, source: 'table'});
		}
	});
	return ok();
}

async function loadNewer(platform: PlatformClient, version: number, cache: Map<string, string>): Promise<Result<Configuration | undefined, LoadFailure>> {
	const found = await readHead(platform);
	if (found.isErr()) {
		return found.map(() => undefined);
	}

	if (!found.value || found.value.head.version <= version) {
		return ok(undefined);
	}

	return loadVersion(platform, found.value.head, cache);
}
