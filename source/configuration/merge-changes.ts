/**
 * Merges the changes of one operator with what others have published since.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type ConfigurationIndex, type IndexedFile} from './stored-configuration.ts';

/** Desired parts by file name; `undefined` removes the file. */
export type DesiredFiles = ReadonlyMap<string, string[] | undefined>;

/** A file that another operator changed since the base version. */
export type FileConflict = {
	name: string;
	/** Version that last changed the file; `undefined` when it was removed. */
	version: number | undefined;
};

/** Options of {@linkcode mergeChanges}. */
export type MergeChangesOptions = {
	desired: DesiredFiles;
	/** Index of the version that the operator started from. */
	base: ConfigurationIndex;
	/** Index of the active version. */
	current: ConfigurationIndex;
	/** Version number of the merged index. */
	version: number;
};

/**
 * Applies the operator's changes to the active index (a three-way merge by file).
 *
 * A file counts as changed by the operator when it differs from the base; other files keep their active content. A file
 * that the operator and somebody else changed differently since the base is a conflict.
 *
 * @param options Desired files, base index and active index.
 * @returns The merged index, `undefined` when nothing would change, or all conflicts.
 * @example
 * ```ts
 * const merged = mergeChanges({desired, base, current, version: 42});
 * ```
 */
export function mergeChanges(options: MergeChangesOptions): Result<ConfigurationIndex | undefined, FileConflict[]> {
	const {desired, base, current, version} = options;
	const files: Record<string, IndexedFile> = {...current.files};
	const conflicts: FileConflict[] = [];
	let changed = false;
	for (const [name, parts] of desired) {
		const active = current.files[name];
		if (sameParts(parts, base.files[name]?.parts) || sameParts(parts, active?.parts)) {
			continue;
		}

		if (!sameParts(active?.parts, base.files[name]?.parts)) {
			conflicts.push({name, version: active?.version});
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
