/**
 * Tests that play the soak's short regression cases.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {describe, test} from 'node:test';
import {type TestShare} from './checks/test-mutations.ts';
import {mustKeep} from './must-keep.ts';
import {soakPlanSchema} from './plan.ts';

/** Schedules that once broke a promise; each file says why. */
export const regressionsFolder = path.join(import.meta.dirname, '..', '..', '..', 'source', 'testing', 'soak', 'regressions');

/** Registers the tests of a share of the cases, one after the other; those of full length, in a folder of their own, are played by hand. */
export async function testCases({part, parts}: TestShare): Promise<void> {
	const names = await readdir(regressionsFolder);
	const files = names.filter(name => name.endsWith('.json')).toSorted();
	describe('cases of the soak', () => {
		for (const file of files.filter((_file, index) => index % parts === part)) {
			test(`the soak's case ${file} keeps all promises`, async () => {
				const plan = soakPlanSchema.parse(JSON.parse(await readFile(path.join(regressionsFolder, file), 'utf8')));
				assert.notEqual(plan.description, '');
				await mustKeep(plan);
			});
		}
	});
}
