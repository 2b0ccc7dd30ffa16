import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {querySteps} from './mod.ts';

/** Engines that a generation asks at the most. */
const candidates = [0, 1, 2, 3, 4, 5];

/** Asks engines of which each is busy with a probability; returns how many were asked, and whether a free one was found. */
function ask(busyShare: number, random: () => number): {asked: number; found: boolean} {
	let asked = 0;
	for (const engines of querySteps(candidates)) {
		asked += engines.length;
		const free = engines.filter(() => random() >= busyShare);
		if (free.length > 0) {
			return {asked, found: true};
		}
	}

	return {asked, found: false};
}

// Load: each engine reads a prompt for 0.3 of its time, as with one prompt of 8,000 tokens in 3.3 s at 8 tokens a ms.
test('with engines that are busy for 0.3 of their time, a generation asks few of them, and misses a free one no more often than by asking all', () => {
	fc.assert(fc.property(fc.array(fc.double({min: 0, max: 0.999, noNaN: true}), {minLength: 6, maxLength: 6}), draws => {
		let drawn = 0;
		const {asked, found} = ask(0.3, () => draws[drawn++]!);
		assert.equal(found, draws.some(draw => draw >= 0.3));
		assert.ok(asked === 3 || draws.slice(0, 3).every(draw => draw < 0.3));
	}), {seed: 32});
});

test('each candidate is in one step, in order, however few there are', () => {
	for (let count = 0; count <= candidates.length; count += 1) {
		const steps = querySteps(candidates.slice(0, count));
		assert.deepEqual(steps.flat(), candidates.slice(0, count));
		assert.ok(steps.every(step => step.length > 0));
	}
});
