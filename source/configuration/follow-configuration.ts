/**
 * Keeps a router's configuration up with the platform's table.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type PlatformClient} from '../table-service/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ConfigurationInForce} from './configuration-in-force.ts';
import {type Configuration} from './configuration.ts';
import {readHead, type LoadFailure} from './stored-configuration.ts';
import {VersionLoader} from './version-loader.ts';

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

/** What one look at the table found: a newer version, or that none is newer than this one. */
type Look = {kind: 'newer'; configuration: Configuration} | {kind: 'none'; version: number};

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
	const {platform, inForce, periodMilliseconds, random} = options;
	const loader = new VersionLoader(platform);
	await poll(async () => look(platform, inForce, loader), {periodMilliseconds, random, signal}).observe(found => {
		act(found, options);
	});
	return ok();
}

async function look(platform: PlatformClient, inForce: ConfigurationInForce, loader: VersionLoader): Promise<Result<Look, LoadFailure>> {
	const stored = await readHead(platform);
	if (stored.isErr()) {
		return stored.map(() => ({kind: 'none', version: 0}));
	}

	const {head} = stored.value;
	if (head.version <= inForce.version) {
		return ok({kind: 'none', version: head.version});
	}

	const loaded = await loader.load(head);
	return loaded.map(configuration => ({kind: 'newer', configuration}));
}

function act(found: Result<Look, LoadFailure>, {inForce, logger}: FollowConfigurationOptions): void {
	if (found.isErr()) {
		if (found.error.kind === 'unreadable') {
			inForce.markUnreadable(found.error.version ?? inForce.version + 1);
		}

		logger.warn('configuration not read', found.error);
		return;
	}

	if (found.value.kind === 'none') {
		inForce.markReadable(found.value.version);
		return;
	}

	const {configuration} = found.value;
	if (inForce.offer(configuration)) {
		logger.info('configuration in force', {version: configuration.version, source: 'table'});
	}
}
