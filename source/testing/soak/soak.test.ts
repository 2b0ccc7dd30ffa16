import assert from 'node:assert/strict';
import {test} from 'node:test';
import {faultKinds} from './fault-kinds.ts';
import {drawPlan, shortenPlan} from './mod.ts';
import {mustKeep} from './must-keep.ts';

/** Schedule of the short run in CI. */
const short = {seed: 1, gateways: 3, faultMilliseconds: 6000};

test('a short soak keeps all promises', async () => {
	await mustKeep(drawPlan(short));
});

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
