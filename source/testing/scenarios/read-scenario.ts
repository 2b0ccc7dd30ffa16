/**
 * Reads scenario files.
 *
 * @module
 */
import {readdir} from 'node:fs/promises';
import path from 'node:path';
import {type Result} from 'neverthrow';
import {readDocument, type DocumentFault} from '../../settings/mod.ts';
import {scenarioSchema, type Scenario} from './scenario.ts';

/** Folder of the scenario files, at the root of the repository. */
export const scenariosFolder = path.join(import.meta.dirname, '..', '..', '..', 'scenarios');

/**
 * Reads one scenario; every fault names its file, line and field.
 *
 * @param file Path of the file.
 * @example
 * ```ts
 * const scenario = await readScenario('scenarios/engine-killed.jsonc');
 * ```
 */
export async function readScenario(file: string): Promise<Result<Scenario, DocumentFault[]>> {
	return readDocument(file, scenarioSchema);
}

/** Lists the scenario files of the repository, in order of their names. */
export async function listScenarios(): Promise<string[]> {
	const names = await readdir(scenariosFolder);
	return names.filter(name => name.endsWith('.jsonc')).toSorted().map(name => path.join(scenariosFolder, name));
}
