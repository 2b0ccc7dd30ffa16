import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fitLine} from './fit-line.ts';

test('a line through exact points has no error', () => {
	assert.deepEqual(fitLine([[0, 1], [1, 3], [2, 5]]), {intercept: 1, slope: 2, slopeError: 0});
});

test('points beside the line give the slope an error', () => {
	assert.ok(fitLine([[0, 0], [1, 2], [2, 1], [3, 3]]).slopeError! > 0);
});
