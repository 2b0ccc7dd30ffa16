import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {PermitQueue} from './mod.ts';

test('permits are requested one at a time, for the most important waiting request first', async () => {
	const requested: number[] = [];
	let requesting = 0;
	const queue = new PermitQueue(async importance => {
		requesting += 1;
		assert.equal(requesting, 1);
		requested.push(importance);
		await delay(5);
		requesting -= 1;
		return true;
	});
	const granted = await Promise.all([5, 3, 0, 1, 0].map(async importance => queue.take(importance)));
	assert.deepEqual(requested, [5, 0, 0, 1, 3]);
	assert.deepEqual(granted, [true, true, true, true, true]);
});

test('after a refusal only more important requests still ask', async () => {
	const requested: number[] = [];
	const queue = new PermitQueue(async importance => {
		requested.push(importance);
		await delay(5);
		return importance === 0;
	});
	const granted = await Promise.all([2, 0, 3, 1].map(async importance => queue.take(importance)));
	assert.deepEqual(granted, [false, true, false, false]);
	assert.deepEqual(requested, [2, 0, 1]);
});

// One permit is requested at a time, so that many requests may wait here for longer than their callers do.
test('no permit is requested for a request whose caller has left while it waited, or whose deadline has passed', async () => {
	const requested: number[] = [];
	const queue = new PermitQueue(async importance => {
		requested.push(importance);
		await delay(20);
		return true;
	});
	const needed = new Set([1, 2, 3]);
	const taken = [1, 2, 3].map(async importance => queue.take(importance, () => needed.has(importance)));
	needed.delete(2);
	assert.deepEqual(await Promise.all(taken), [true, false, true]);
	assert.deepEqual(requested, [1, 3]);
});
