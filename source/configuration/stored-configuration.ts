/**
 * Stored form of the configuration's versions in the platform's table and object store.
 *
 * Objects are content-addressed: one for each service, one for each part of a workspaces file, and the index of a
 * version, which references all of them. The head row references the active version and its index, so that a router
 * that already has the version reads only one small row; other routers read the index and the changed objects. The
 * version row contains the token of the publication that wrote it, which shows its outcome after a lost response.
 *
 * An object is garbage when neither the active index nor the index of a retained version row references it, and it was
 * not written within the last day. This module never removes objects; that is left to the object store's own expiry,
 * where it has one.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type PlatformClient} from '../table-service/mod.ts';

/** Table of the head row and the version rows. */
export const configurationTable = 'configuration';

/** Key of the row that references the active version. */
export const headKey = 'head';

/** Number of version rows retained up to the head: ten days at 9,000 changes a day. */
export const retainedVersions = 90_000;

/** Value of the head row; version 0 has no files. */
export const headSchema = z.object({
	version: z.number().int().nonnegative(),
	/** Digest of the index; empty for version 0. */
	index: z.string(),
});

/** Value of a version row. */
export const versionRowSchema = z.object({
	/** Token of the publication that wrote the version. */
	token: z.string(),
	/** Digest of the index. */
	index: z.string(),
});

/** One file of a version. */
export const indexedFileSchema = z.object({
	/** Digests of the objects that make up the content, in order. */
	parts: z.array(z.string()).min(1),
	/** Version that last changed the file. */
	version: z.number().int().positive(),
});

/** Content of an index: files by name, `service/NAME` or `workspaces/FILE`. */
export const configurationIndexSchema = z.object({files: z.record(z.string(), indexedFileSchema)});

/** Value of the head row. */
export type ConfigurationHead = z.output<typeof headSchema>;

/** One file of a version. */
export type IndexedFile = z.output<typeof indexedFileSchema>;

/** Content of an index. */
export type ConfigurationIndex = z.output<typeof configurationIndexSchema>;

/** The head row as read. */
export type StoredHead = {
	head: ConfigurationHead;
	/** Revision of the row; 0 when there is none. */
	revision: number;
};

/** Why a version could not be loaded; `version` is missing when the head row itself does not match its schema. */
export type LoadFailure = {kind: 'unavailable'; message: string} | {kind: 'unreadable'; version?: number; message: string};

/**
 * Returns the key of a version row.
 *
 * @param version Number of the version.
 */
export function versionKey(version: number): string {
	return `version/${String(version).padStart(10, '0')}`;
}

/**
 * Returns the name of the object with a given content.
 *
 * @param digest Digest of the content.
 */
export function objectName(digest: string): string {
	return `configuration/${digest}`;
}

/**
 * Returns the SHA-256 digest of a content, in hexadecimal.
 *
 * @param content Content of an object as JSON.
 */
export function contentDigest(content: string): string {
	return createHash('sha256').update(content).digest('hex');
}

/**
 * Reads the head row.
 *
 * @param platform Client of the platform.
 * @returns The head; version 0 before the first publication.
 */
export async function readHead(platform: PlatformClient): Promise<Result<StoredHead, LoadFailure>> {
	const rows = await platform.read([{table: configurationTable, key: headKey}]);
	if (rows.isErr()) {
		return err({kind: 'unavailable', message: rows.error.message});
	}

	const [row] = rows.value;
	if (!row) {
		return ok({head: {version: 0, index: ''}, revision: 0});
	}

	const checked = headSchema.safeParse(row.value);
	return checked.success
		? ok({head: checked.data, revision: row.revision})
		: err({kind: 'unreadable', message: `the head row does not match its schema: ${checked.error.message}`});
}
