/**
 * Rows of a measurement and how they are written.
 *
 * @module
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';

/** Folder of all results. */
const outputFolder = 'measurements-output';

/**
 * Writes a result as JSON into the output folder.
 *
 * @param name Name of the file without its ending.
 * @param result Any value that JSON can hold.
 * @returns Path of the file.
 */
export async function writeResult(name: string, result: unknown): Promise<string> {
	await mkdir(outputFolder, {recursive: true});
	const file = path.join(outputFolder, `${name}.json`);
	await writeFile(file, JSON.stringify(result, undefined, '\t') + '\n');
	return file;
}
