/**
 * Splits collected files into the objects in which they are stored.
 *
 * @module
 */
import {type CollectedFile} from './collect-files.ts';
import {type Workspace} from './service-file.ts';
import {contentDigest} from './stored-configuration.ts';

/** Options of {@linkcode splitFile}. */
export type SplitFileOptions = {
	/** Maximum average number of workspaces per object. A change of one workspace makes routers read about this many. Default is 64. */
	workspacesPerPart?: number;
};

/** A file in its stored form. */
export type SplitFile = {
	/** `service/NAME` or `workspaces/FILE`. */
	name: string;
	/** JSON contents by digest, in order. */
	parts: Map<string, string>;
};

/**
 * Splits a file into its objects: a service is one object; workspaces are distributed by the digests of their names,
 * so that a change of one workspace changes only one object.
 *
 * @param collected The file.
 * @param options Size of the objects.
 * @example
 * ```ts
 * const {parts} = splitFile(collected);
 * ```
 */
export function splitFile(collected: CollectedFile, options: SplitFileOptions = {}): SplitFile {
	const contents = collected.kind === 'service'
		? [collected.service]
		: splitWorkspaces(collected.workspaces, options.workspacesPerPart ?? 64).map(workspaces => ({workspaces}));
	const texts = contents.map(content => JSON.stringify(content));
	return {name: collected.name, parts: new Map(texts.map(text => [contentDigest(text), text]))};
}

function splitWorkspaces(workspaces: Workspace[], workspacesPerPart: number): Workspace[][] {
	const count = 2 ** Math.max(0, Math.ceil(Math.log2(workspaces.length / workspacesPerPart)));
	const parts = Array.from({length: count}, (): Workspace[] => []);
	for (const workspace of workspaces) {
		const number = Number.parseInt(contentDigest(workspace.workspace).slice(0, 8), 16);
		parts[number % count]!.push(workspace);
	}

	return parts.filter(part => part.length > 0).map(part => part.toSorted((left, right) => left.workspace < right.workspace ? -1 : 1));
}
