/**
 * Checks that workspaces and their keys are unique across files.
 *
 * @module
 */
import {type DocumentFault, type FieldPath} from '../settings/mod.ts';
import {type Workspace} from './service-file.ts';

/** Workspaces of one file, and the line numbers of their fields. */
export type WorkspacesSource = {
	/** Name of the file in error messages. */
	file: string;
	workspaces: Workspace[];
	/** Returns the line number of a field. */
	lineOf: (path: FieldPath) => number;
};

/**
 * Finds workspaces that are defined more than once and keys that belong to more than one workspace.
 *
 * @param sources Files in order of precedence; the first definition of a workspace or key is the valid one.
 * @returns One fault for each duplicate.
 * @example
 * ```ts
 * const faults = checkWorkspaces([{file: 'all.workspaces.jsonc', workspaces, lineOf: () => 1}]);
 * ```
 */
export function checkWorkspaces(sources: WorkspacesSource[]): DocumentFault[] {
	const faults: DocumentFault[] = [];
	const fileOfWorkspace = new Map<string, string>();
	const ownerOfDigest = new Map<string, string>();
	for (const {file, workspaces, lineOf} of sources) {
		const report = (path: FieldPath, message: string) => {
			faults.push({
				file, line: lineOf(path), field: path.join('.'), message,
			});
		};

		for (const [position, {workspace, keyDigests}] of workspaces.entries()) {
			const earlierFile = fileOfWorkspace.get(workspace);
			if (earlierFile !== undefined) {
				report(['workspaces', position, 'workspace'], `workspace "${workspace}" is already described by ${earlierFile}`);
			}

			fileOfWorkspace.set(workspace, earlierFile ?? file);
			for (const [digestPosition, digest] of keyDigests.entries()) {
				const earlierOwner = ownerOfDigest.get(digest);
				if (earlierOwner !== undefined) {
					report(['workspaces', position, 'keyDigests', digestPosition], `this key already belongs to workspace "${earlierOwner}"`);
				}

				ownerOfDigest.set(digest, earlierOwner ?? workspace);
			}
		}
	}

	return faults;
}
