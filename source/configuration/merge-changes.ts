/**
 * Decides what an operator changes, and whether it can go on top of what others have published.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type ConfigurationIndex, type IndexedFile} from './stored-configuration.ts';

/** Wanted parts by name of file; `undefined` removes the file. */
export type WantedFiles = ReadonlyMap<string, string[] | undefined>;

/** A file that somebody else changed since the operator's base. */
export type FileConflict = {
	name: string;
	/** Version that last changed it; `undefined` when it was removed. */
	version: number | undefined;
};

/** Options of {@linkcode mergeChanges}. */
export type MergeChangesOptions = {
	wanted: WantedFiles;
	/** Index that the operator started from. */
	base: ConfigurationIndex;
	/** Index in force. */
	current: ConfigurationIndex;
	/** Version that the merged index will be. */
	version: number;
};

/**
 * Puts the operator's changes on top of the index in force.
 *
 * A file counts as changed by the operator when it differs from the base; the others stay as they are in force. A file
 * that both the operator and somebody else changed since the base, each in another way, is a conflict.
 *
 * @param options Wanted files, base and index in force.
 * @returns The merged index, `undefined` when nothing would change, or every conflict.
 * @example
 * ```ts
 * const merged = mergeChanges({wanted, base, current, version: 42});
 * ```
 */
export function mergeChanges(options: MergeChangesOptions): Result<ConfigurationIndex | undefined, FileConflict[]> {
	const {wanted, base, current, version} = options;
	const files: Record<string, IndexedFile> = {...current.files};
	const conflicts: FileConflict[] = [];
	let changed = false;
	for (const [name, parts] of wanted) {
		const inForce = current.files[name];
		if (sameParts(parts, base.files[name]?.parts) || sameParts(parts, inForce?.parts)) {
			continue;
		}

		if (!sameParts(inForce?.parts, base.files[name]?.parts)) {
			conflicts.push({name, version: inForce?.version});
			continue;
		}

		changed = true;
		if (parts) {
			files[name] = {parts, version};
		} else {
			// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
			delete files[name];
		}
	}

	if (conflicts.length > 0) {
		return err(conflicts);
	}

	return ok(changed ? {files} : undefined);
}

function sameParts(left: string[] | undefined, right: string[] | undefined): boolean {
	return left?.join(' ') === right?.join(' ');
}
