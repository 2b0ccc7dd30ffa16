/**
 * Polls the platform's table for new versions of a router's configuration.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type PlatformClient} from '../table-service/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ActiveConfiguration} from './active-configuration.ts';
import {type Configuration} from './configuration.ts';
import {readHead, type LoadFailure} from './stored-configuration.ts';
import {VersionLoader} from './version-loader.ts';

/** Options of {@linkcode followConfiguration}. */
export type FollowConfigurationOptions = {
	platform: PlatformClient;
	active: ActiveConfiguration;
	logger: Logger;
	/** Mean time between two reads of the head row, in milliseconds. */
	periodMilliseconds: number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

/** Result of one poll: a newer version, or the head's version when it is not newer than the active one. */
type PollResult = {kind: 'newer'; configuration: Configuration} | {kind: 'none'; version: number};

/**
 * Polls the head row, and loads and activates each higher version.
 *
 * @param options Platform, active configuration and polling period.
 * @param signal Ends the task.
 * @example
 * ```ts
 * supervisor.start('configuration', signal => followConfiguration(options, signal));
 * ```
 */
export async function followConfiguration(options: FollowConfigurationOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {platform, active, periodMilliseconds, random} = options;
	const loader = new VersionLoader(platform);
	await poll(async () => pollTable(platform, active, loader), {periodMilliseconds, random, signal}).observe(found => {
		applyResult(found, options);
	});
	return ok();
}

async function pollTable(platform: PlatformClient, active: ActiveConfiguration, loader: VersionLoader): Promise<Result<PollResult, LoadFailure>> {
	const stored = await readHead(platform);
	if (stored.isErr()) {
		return stored.map(() => ({kind: 'none', version: 0}));
	}

	const {head} = stored.value;
	if (head.version <= active.version) {
		return ok({kind: 'none', version: head.version});
	}

	const loaded = await loader.load(head);
	return loaded.map(configuration => ({kind: 'newer', configuration}));
}

function applyResult(found: Result<PollResult, LoadFailure>, {active, logger}: FollowConfigurationOptions): void {
	if (found.isErr()) {
		if (found.error.kind === 'unreadable') {
			active.markUnreadable(found.error.version ?? active.version + 1);
		}

		logger.warn('configuration not read', found.error);
		return;
	}

	if (found.value.kind === 'none') {
		active.markReadable(found.value.version);
		return;
	}

	const {configuration} = found.value;
	if (active.applyIfNewer(configuration)) {
		logger.info('configuration in force', {version: configuration.version, source: 'table'});
	}
}
