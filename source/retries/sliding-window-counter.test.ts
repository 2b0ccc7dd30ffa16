import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SlidingWindowCounter} from './sliding-window-counter.ts';

const windowMilliseconds = 10_000;

test('the upper bound includes an event until a whole window has passed since its bucket', () => {
	const counter = new SlidingWindowCounter(windowMilliseconds);
	counter.add(999);
	assert.equal(counter.upperBound(10_000), 1);
	assert.equal(counter.upperBound(10_999), 1);
	assert.equal(counter.upperBound(11_000), 0);
});

test('the number of events in a window lies between the lower and the upper bound', () => {
	fc.assert(fc.property(fc.array(fc.nat({max: 3000}), {maxLength: 40}), gaps => {
		const counter = new SlidingWindowCounter(windowMilliseconds);
		const times: number[] = [];
		let now = 0;
		for (const gap of gaps) {
			now += gap;
			counter.add(now);
			times.push(now);
			const start = now - windowMilliseconds;
			const inside = times.filter(time => time > start).length;
			assert.ok(counter.upperBound(now) >= inside);
			assert.ok(counter.lowerBound(now) <= inside);
		}
	}));
});
