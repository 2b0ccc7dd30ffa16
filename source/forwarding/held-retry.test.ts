import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HeldRetry} from './held-retry.ts';

function createRetry() {
	const state = {now: 0, acquired: 0, allowed: true};
	const retry = new HeldRetry({
		async acquire() {
			state.acquired += state.allowed ? 1 : 0;
			return state.allowed;
		},
		clock: () => state.now,
	});
	return {state, retry};
}

// Retries that were held while generations waited for an engine were used long after the window in which the budget had counted them.
test('a retry that was held while its generation waited for an engine is not used, another one is taken', async () => {
	const {state, retry} = createRetry();
	assert.ok(await retry.take('lost'));
	state.now = 3000;
	assert.ok(!retry.isHeld);
	state.allowed = false;
	assert.ok(!await retry.take('lost'));
	state.allowed = true;
	assert.ok(await retry.take('lost'));
	assert.equal(state.acquired, 2);
});

test('a retry that was taken a moment ago and not used serves the next attempt, and each attempt needs one of its own', async () => {
	const {state, retry} = createRetry();
	await retry.take('silent');
	state.now = 100;
	await retry.take('lost');
	assert.equal(state.acquired, 1);
	retry.use();
	assert.ok(!retry.isHeld);
	await retry.take('lost');
	assert.equal(state.acquired, 2);
});
