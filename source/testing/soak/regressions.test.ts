import assert from 'node:assert/strict';
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {describe, test} from 'node:test';
import {faultKinds} from './fault-kinds.ts';
import {mustKeep} from './must-keep.ts';
import {soakPlanSchema} from './plan.ts';

/** Schedules that once broke a promise; each file says why. */
const regressions = path.join(import.meta.dirname, '..', '..', '..', 'source', 'testing', 'soak', 'regressions');

const names = await readdir(regressions, {recursive: true});
const files = names.filter(name => name.endsWith('.json'));

test('each regression case is a schedule of known faults that says what was found', async () => {
	assert.ok(files.length > 0);
	for (const file of files) {
		const plan = soakPlanSchema.parse(JSON.parse(await readFile(path.join(regressions, file), 'utf8')));
		assert.notEqual(plan.description, '', file);
		assert.ok(plan.faults.every(({kind, variant}) => faultKinds[kind]?.variants.includes(variant)), file);
	}
});

// Those of full length, in a folder of their own, are played by hand.
describe('cases of the soak', {concurrency: 2}, () => {
	for (const file of files.filter(name => path.dirname(name) === '.')) {
		test(`the soak's case ${file} keeps all promises`, async () => {
			const plan = soakPlanSchema.parse(JSON.parse(await readFile(path.join(regressions, file), 'utf8')));
			assert.notEqual(plan.description, '');
			await mustKeep(plan);
		});
	}
});
