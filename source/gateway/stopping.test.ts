import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Stopping} from './stopping.ts';

test('a stopping gateway takes requests of callers who have not heard of it yet, and then no more', () => {
	const stopping = new Stopping({stopMilliseconds: 8000});
	assert.equal(stopping.takes(0), true);
	stopping.begin(1000);
	stopping.begin(5000);
	assert.equal(stopping.takes(3000), true);
	assert.equal(stopping.takes(3500), false);
});

test('it ends when nothing is in progress and nothing new comes, or when its time is over', () => {
	const stopping = new Stopping({stopMilliseconds: 8000});
	const ended = stopping.track(900);
	assert.equal(stopping.mayEnd(950), false);
	stopping.begin(1000);
	assert.equal(stopping.mayEnd(3000), false);
	assert.equal(stopping.mayEnd(8700), true);
	ended();
	ended();
	assert.equal(stopping.inProgress, 0);
	assert.equal(stopping.mayEnd(1500), false);
	assert.equal(stopping.mayEnd(2000), true);
});
