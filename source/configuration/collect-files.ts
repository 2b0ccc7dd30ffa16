/**
 * Collects the files that describe services and workspaces below given folders.
 *
 * @module
 */
import {readdir} from 'node:fs/promises';
import path from 'node:path';
import {
	err, ok, type Result,
} from 'neverthrow';
import {type z} from 'zod';
import {readDocument, type DocumentFault} from '../settings/mod.ts';
import {serviceFileSchema, workspacesFileSchema} from './service-file.ts';

/** A checked file, under the name that it has in the configuration. */
export type CollectedFile = {
	/** `service/NAME` or `workspaces/FILE`. */
	name: string;
	/** Path that it was read from. */
	file: string;
	/** Checked content as JSON, with its defaults. */
	content: string;
};

/** A kind of file: its ending, and the schema that turns a content into its name and checked form. */
type FileKind = {ending: string; schema: (file: string) => z.ZodType<{name: string; content: string}>};

const kinds: FileKind[] = [
	{
		ending: '.service.jsonc',
		schema: () => serviceFileSchema.transform(service => ({name: `service/${service.service}`, content: JSON.stringify(service)})),
	},
	{
		ending: '.workspaces.jsonc',
		schema(file) {
			const name = `workspaces/${path.basename(file, '.workspaces.jsonc')}`;
			return workspacesFileSchema.transform(workspaces => ({name, content: JSON.stringify(workspaces)}));
		},
	},
];

/**
 * Reads and checks every file of the configuration below some folders.
 *
 * @param folders Folders to search.
 * @returns The files in order of names, or every fault of all of them.
 * @example
 * ```ts
 * const files = await collectFiles(['services']);
 * ```
 */
export async function collectFiles(folders: string[]): Promise<Result<CollectedFile[], DocumentFault[]>> {
	const faults: DocumentFault[] = [];
	const collected = new Map<string, CollectedFile>();
	for (const file of await listFiles(folders, faults)) {
		const kind = kinds.find(({ending}) => file.endsWith(ending));
		if (!kind) {
			continue;
		}

		const read = await readDocument(file, kind.schema(file));
		if (read.isErr()) {
			faults.push(...read.error);
			continue;
		}

		const {name, content} = read.value;
		const earlier = collected.get(name);
		if (earlier) {
			faults.push({
				file, line: 1, field: '', message: `${name} is already described by ${earlier.file}`,
			});
		}

		collected.set(name, {name, file, content});
	}

	if (faults.length === 0 && collected.size === 0) {
		faults.push({
			file: folders.join(', '), line: 1, field: '', message: 'no *.service.jsonc or *.workspaces.jsonc file was found',
		});
	}

	return faults.length > 0 ? err(faults) : ok([...collected.values()].toSorted((left, right) => left.name.localeCompare(right.name)));
}

async function listFiles(folders: string[], faults: DocumentFault[]): Promise<string[]> {
	const files: string[] = [];
	for (const folder of folders) {
		try {
			const entries = await readdir(folder, {recursive: true, withFileTypes: true});
			files.push(...entries.filter(entry => entry.isFile()).map(entry => path.join(entry.parentPath, entry.name)));
		} catch (error) {
			faults.push({
				file: folder, line: 1, field: '', message: `cannot be read: ${String(error)}`,
			});
		}
	}

	return files.toSorted();
}
