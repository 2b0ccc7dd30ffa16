import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SlidingCount} from './sliding-count.ts';

const windowMilliseconds = 10_000;

test('events count until a whole window has passed, wherever in a part they happened', () => {
	const count = new SlidingCount(windowMilliseconds);
	count.add(999);
	assert.equal(count.atMost(10_000), 1);
	assert.equal(count.atMost(10_999), 1);
	assert.equal(count.atMost(11_000), 0);
});

test('the true number of events of a window lies between both bounds', () => {
	fc.assert(fc.property(fc.array(fc.nat({max: 3000}), {maxLength: 40}), gaps => {
		const count = new SlidingCount(windowMilliseconds);
		const times: number[] = [];
		let now = 0;
		for (const gap of gaps) {
			now += gap;
			count.add(now);
			times.push(now);
			const start = now - windowMilliseconds;
			const inside = times.filter(time => time > start).length;
			assert.ok(count.atMost(now) >= inside);
			assert.ok(count.atLeast(now) <= inside);
		}
	}));
});
