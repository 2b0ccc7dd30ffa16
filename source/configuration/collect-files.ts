/**
 * Finds, reads and checks the service files and workspaces files in given folders.
 *
 * @module
 */
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {
	err, ok, type Result,
} from 'neverthrow';
import {lineOfField, parseDocument, type DocumentFault} from '../settings/mod.ts';
import {checkWorkspaces, type WorkspacesSource} from './check-workspaces.ts';
import {
	serviceFileSchema, workspacesFileSchema, type Service, type Workspace,
} from './service-file.ts';

/** A checked file and its name in the configuration. */
export type CollectedFile
	= | {
		kind: 'service';
		/** `service/NAME`. */
		name: string;
		/** Path that it was read from. */
		file: string;
		service: Service;
	}
	| {
		kind: 'workspaces';
		/** `workspaces/FILE`. */
		name: string;
		/** Path that it was read from. */
		file: string;
		workspaces: Workspace[];
		/** Text of the file. */
		text: string;
	};

type Parse = (text: string, file: string) => Result<CollectedFile, DocumentFault[]>;

const parsersByEnding: Record<string, Parse> = {
	'.service.jsonc': (text, file) => parseDocument(text, file, serviceFileSchema).map(service => ({
		kind: 'service', name: `service/${service.service}`, file, service,
	})),
	'.workspaces.jsonc': (text, file) => parseDocument(text, file, workspacesFileSchema).map(({workspaces}) => ({
		kind: 'workspaces', name: `workspaces/${path.basename(file, '.workspaces.jsonc')}`, file, workspaces, text,
	})),
};

/** Folders that are not searched. */
const skippedFolders = new Set(['node_modules', '.git']);

/**
 * Reads and checks every configuration file in some folders and their subfolders.
 *
 * @param folders Folders to search.
 * @returns The files sorted by name, or all faults of all files.
 * @example
 * ```ts
 * const files = await collectFiles(['services']);
 * ```
 */
export async function collectFiles(folders: string[]): Promise<Result<CollectedFile[], DocumentFault[]>> {
	const faults: DocumentFault[] = [];
	const collected: CollectedFile[] = [];
	for (const file of await listFiles(folders, faults)) {
		const read = await readCollected(file);
		if (read.isOk()) {
			collected.push(read.value);
		} else {
			faults.push(...read.error);
		}
	}

	faults.push(...checkNames(collected), ...checkWorkspaces(workspacesSources(collected)));
	return faults.length > 0 ? err(faults) : ok(collected.toSorted((left, right) => left.name < right.name ? -1 : 1));
}

/**
 * Returns the workspaces of collected files, with the line numbers of their fields.
 *
 * @param files Collected files.
 */
export function workspacesSources(files: CollectedFile[]): WorkspacesSource[] {
	return files.flatMap(collected => collected.kind === 'workspaces'
		? [{file: collected.file, workspaces: collected.workspaces, lineOf: fieldPath => lineOfField(collected.text, fieldPath)}]
		: []);
}

async function readCollected(file: string): Promise<Result<CollectedFile, DocumentFault[]>> {
	const parse = Object.entries(parsersByEnding).find(([ending]) => file.endsWith(ending))![1];
	try {
		return parse(await readFile(file, 'utf8'), file);
	} catch (error) {
		return err([wholeFileFault(file, `cannot be read: ${String(error)}`)]);
	}
}

/** Finds services and workspaces files that occur more than once in the folders. */
function checkNames(collected: CollectedFile[]): DocumentFault[] {
	const fileOfName = new Map<string, string>();
	const faults: DocumentFault[] = [];
	for (const {name, file} of collected) {
		const earlier = fileOfName.get(name);
		if (earlier !== undefined) {
			faults.push(wholeFileFault(file, `${name} is already described by ${earlier}`));
		}

		fileOfName.set(name, earlier ?? file);
	}

	return faults;
}

async function listFiles(folders: string[], faults: DocumentFault[]): Promise<string[]> {
	const files = new Set<string>();
	for (const folder of folders) {
		try {
			const names = await readdir(folder, {recursive: true});
			const found = names.filter(name => isCollected(name)).map(name => path.join(folder, name));
			if (found.length === 0) {
				faults.push(wholeFileFault(folder, 'contains no *.service.jsonc or *.workspaces.jsonc file'));
			}

			for (const file of found) {
				files.add(file);
			}
		} catch (error) {
			faults.push(wholeFileFault(folder, `cannot be read: ${String(error)}`));
		}
	}

	return [...files].toSorted();
}

function isCollected(name: string): boolean {
	return Object.keys(parsersByEnding).some(ending => name.endsWith(ending))
		&& !name.split(path.sep).some(part => skippedFolders.has(part));
}

function wholeFileFault(file: string, message: string): DocumentFault {
	return {
		file, line: 1, field: '', message,
	};
}
