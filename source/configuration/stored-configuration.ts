/**
 * How versions of the configuration are kept in the platform's table and object store.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {
	err, ok, type Result,
} from 'neverthrow';
import {z} from 'zod';
import {type PlatformClient, type Row} from '../platform/mod.ts';
import {configurationSchema, type Configuration} from './configuration.ts';

/** Table of the configuration's rows. */
export const configurationTable = 'configuration';

/** Key of the row that names the version in force. */
export const headKey = 'head';

/** Value of the head row: a version and the digest of each file's checked content. */
export const headSchema = z.object({
	version: z.number().int().positive(),
	/** Digests by name: `service/NAME` or `workspaces/FILE`. */
	files: z.record(z.string(), z.string()),
});

const workspacesContentSchema = z.object({workspaces: z.array(z.unknown())});

/** Value of the head row. */
export type ConfigurationHead = z.output<typeof headSchema>;

/** Why the version in force could not be loaded. */
export type LoadFailure = {kind: 'unavailable'; message: string} | {kind: 'unreadable'; version: number; message: string};

/**
 * Returns the key of the row that records who published a version.
 *
 * @param version Number of the version.
 */
export function versionKey(version: number): string {
	return `version/${String(version).padStart(10, '0')}`;
}

/**
 * Returns the name of the object that holds a file's checked content.
 *
 * @param digest Digest of the content.
 */
export function objectName(digest: string): string {
	return `configuration/${digest}`;
}

/**
 * Returns the digest that names a content.
 *
 * @param content Checked content as JSON.
 */
export function contentDigest(content: string): string {
	return createHash('sha256').update(content).digest('hex');
}

/**
 * Reads the head row.
 *
 * @param platform Client of the platform.
 * @returns The row and its value; `undefined` before the first version.
 */
export async function readHead(platform: PlatformClient): Promise<Result<{row: Row; head: ConfigurationHead} | undefined, LoadFailure>> {
	const rows = await platform.read([{table: configurationTable, key: headKey}]);
	if (rows.isErr()) {
		return err({kind: 'unavailable', message: rows.error.message});
	}

	const [row] = rows.value;
	if (!row) {
		return ok(undefined);
	}

	const checked = headSchema.safeParse(row.value);
	return checked.success ? ok({row, head: checked.data}) : err({kind: 'unreadable', version: Number.MAX_SAFE_INTEGER, message: checked.error.message});
}

/**
 * Loads the whole version that a head names, reading only the objects that are not cached.
 *
 * @param platform Client of the platform.
 * @param head The head row's value.
 * @param cache Contents by digest; the contents read are added, those no longer named are dropped.
 */
export async function loadVersion(platform: PlatformClient, head: ConfigurationHead, cache: Map<string, string>): Promise<Result<Configuration, LoadFailure>> {
	const named = new Set(Object.values(head.files));
	for (const digest of named) {
		if (cache.has(digest)) {
			continue;
		}

		const content = await platform.getObject(objectName(digest));
		if (content.isErr() || content.value === undefined) {
			return err({kind: 'unavailable', message: content.isErr() ? content.error.message : `object ${objectName(digest)} is missing`});
		}

		cache.set(digest, content.value);
	}

	for (const digest of cache.keys()) {
		if (!named.has(digest)) {
			cache.delete(digest);
		}
	}

	return assemble(head, cache);
}

function assemble(head: ConfigurationHead, contents: ReadonlyMap<string, string>): Result<Configuration, LoadFailure> {
	const services: unknown[] = [];
	const workspaces: unknown[] = [];
	for (const [name, digest] of Object.entries(head.files)) {
		const content: unknown = JSON.parse(contents.get(digest)!);
		const listed = workspacesContentSchema.safeParse(content);
		if (name.startsWith('workspaces/') && listed.success) {
			workspaces.push(...listed.data.workspaces);
		} else {
			services.push(content);
		}
	}

	const checked = configurationSchema.safeParse({version: head.version, services, workspaces});
	return checked.success ? ok(checked.data) : err({kind: 'unreadable', version: head.version, message: checked.error.message});
}
