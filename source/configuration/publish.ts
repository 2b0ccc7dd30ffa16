/**
 * Publishes collected files as one new version.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type PlatformClient} from '../platform/mod.ts';
import {type CollectedFile} from './collect-files.ts';
import {
	configurationTable, contentDigest, headKey, objectName, readHead, versionKey,
} from './stored-configuration.ts';

/** What became of a publication. */
export type Publication = {version: number; changed: boolean};

/** Why nothing was published, or why that is not known. */
export type PublishFailure = {kind: 'unavailable' | 'conflict' | 'unknown'; message: string};

/** Options of {@linkcode publish}. */
export type PublishOptions = {
	platform: PlatformClient;
	files: CollectedFile[];
	/** Name of this publication, by which a lost answer is settled. */
	token: string;
};

/**
 * Stores the files as objects, then moves the head row by compare-and-set.
 *
 * @param options Platform, files and token.
 * @returns The version in force afterwards.
 * @example
 * ```ts
 * const publication = await publish({platform, files, token: randomUUID()});
 * ```
 */
export async function publish(options: PublishOptions): Promise<Result<Publication, PublishFailure>> {
	const {platform, files, token} = options;
	const head = await readHead(platform);
	if (head.isErr()) {
		return err({kind: 'unavailable', message: head.error.message});
	}

	for (const file of files) {
		const stored = await platform.putObject(objectName(contentDigest(file.content)), file.content);
		if (stored.isErr()) {
			return err({kind: 'unavailable', message: stored.error.message});
		}
	}

	const version = (head.value?.head.version ?? 0) + 1;
	const digests = Object.fromEntries(files.map(file => [file.name, contentDigest(file.content)]));
	const written = await platform.transact([
		{
			kind: 'put',
			table: configurationTable,
			key: headKey,
			value: {version, files: {...head.value?.head.files, ...digests}},
			condition: head.value ? {kind: 'revision', revision: head.value.row.revision} : {kind: 'absent'},
		},
		{
			kind: 'put', table: configurationTable, key: versionKey(version), value: {token}, condition: {kind: 'absent'},
		},
	]);
	if (written.isErr()) {
		return err({kind: 'unknown', message: written.error.message});
	}

	return written.value.kind === 'committed'
		? ok({version, changed: true})
		: err({kind: 'conflict', message: `version ${version} was published by someone else`});
}
