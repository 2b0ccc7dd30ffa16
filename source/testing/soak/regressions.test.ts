import assert from 'node:assert/strict';
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {faultKinds} from './fault-kinds.ts';
import {soakPlanSchema} from './plan.ts';
import {regressionsFolder as regressions, testCases} from './test-cases.ts';

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

await testCases({part: 0, parts: 3});
