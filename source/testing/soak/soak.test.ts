import assert from 'node:assert/strict';
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {faultKinds} from './fault-kinds.ts';
import {
	drawPlan, playSoak, shortenPlan, soakPlanSchema, type SoakPlan,
} from './mod.ts';

/** Schedules that once broke a promise; each file says why. */
const regressions = path.join(import.meta.dirname, '..', '..', '..', 'source', 'testing', 'soak', 'regressions');

/** Schedule of the short run in CI. */
const short = {seed: 1, gateways: 3, faultMilliseconds: 6000};

async function mustKeep(plan: SoakPlan): Promise<void> {
	const {finding, requests, served} = await playSoak(plan, {report: () => undefined});
	assert.equal(finding, undefined, finding && `${finding.check}: ${finding.message}\n${finding.story.join('\n')}`);
	assert.ok(requests > 100);
	assert.ok(served > 0);
}

test('a short soak keeps all promises', async () => {
	await mustKeep(drawPlan(short));
});

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
for (const file of files.filter(name => path.dirname(name) === '.')) {
	test(`the soak's case ${file} keeps all promises`, async () => {
		const plan = soakPlanSchema.parse(JSON.parse(await readFile(path.join(regressions, file), 'utf8')));
		assert.notEqual(plan.description, '');
		await mustKeep(plan);
	});
}

test('a seed gives the same schedule each time, and its faults are known', () => {
	const plan = drawPlan({seed: 5, gateways: 4, faultMilliseconds: 60_000});
	assert.deepEqual(drawPlan({seed: 5, gateways: 4, faultMilliseconds: 60_000}), plan);
	assert.notDeepEqual(drawPlan({seed: 6, gateways: 4, faultMilliseconds: 60_000}), plan);
	assert.ok(plan.faults.length > 30);
	assert.ok(plan.faults.every(({kind, variant}) => faultKinds[kind]?.variants.includes(variant)));
});

test('a failing schedule is made smaller as long as it fails', async () => {
	const plan = drawPlan({seed: 5, gateways: 4, faultMilliseconds: 20_000});
	const culprits = [plan.faults[3], plan.faults[11]];
	const shorter = await shortenPlan(plan, async ({faults}) => culprits.every(fault => faults.includes(fault!)), 1000);
	assert.deepEqual(shorter.faults, culprits);
	const untouched = await shortenPlan(plan, async () => true, 0);
	assert.equal(untouched.faults.length, plan.faults.length);
});
