import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StartHold, decideHold, retryAfterStart} from './mod.ts';

const limits = {requests: 4, bytes: 1000, milliseconds: 3000};
const nothing = {count: 0, bytes: 0, since: 200};

test('a request that arrives during a start is held for half of its time, and no longer than the start may last', () => {
	assert.deepEqual(decideHold({arrivedAt: 900, deadlineMilliseconds: 600, bytes: 10}, nothing, limits), {kind: 'hold', until: 1200});
	assert.deepEqual(decideHold({arrivedAt: 900, deadlineMilliseconds: 25_000, bytes: 10}, nothing, limits), {kind: 'hold', until: 3200});
	assert.deepEqual(decideHold({arrivedAt: 900, deadlineMilliseconds: undefined, bytes: 10}, nothing, limits), {kind: 'hold', until: 3200});
	assert.deepEqual(decideHold({arrivedAt: 3200, deadlineMilliseconds: 25_000, bytes: 10}, nothing, limits), {kind: 'refuse', reason: 'over'});
});

test('a burst during a start is held up to a number and up to a size', () => {
	const request = {arrivedAt: 300, deadlineMilliseconds: 600, bytes: 300};
	assert.equal(decideHold(request, {count: 3, bytes: 700, since: 200}, limits).kind, 'hold');
	assert.deepEqual(decideHold(request, {count: 4, bytes: 0, since: 200}, limits), {kind: 'refuse', reason: 'full'});
	assert.deepEqual(decideHold(request, {count: 1, bytes: 701, since: 200}, limits), {kind: 'refuse', reason: 'full'});
});

test('callers that are refused during the start of a fleet return later the longer it takes, and not together', () => {
	assert.equal(retryAfterStart(10, 0), 100);
	assert.equal(retryAfterStart(400, 0), 400);
	assert.equal(retryAfterStart(400, 0.5), 600);
	assert.equal(retryAfterStart(60_000, 0), 1000);
});

test('held requests are released together, a caller that leaves makes room, and later requests do not wait', async () => {
	const hold = new StartHold({limits: {...limits, requests: 2}, clock: () => 0});
	const request = {arrivedAt: 0, deadlineMilliseconds: 60_000, bytes: 1};
	const leaving = new AbortController();
	const left = hold.wait(request, leaving.signal);
	const {signal} = new AbortController();
	const held = [hold.wait(request, signal)];
	assert.equal(await hold.wait(request, signal), 'full');
	leaving.abort();
	assert.equal(await left, 'disconnected');
	held.push(hold.wait(request, signal));
	hold.release();
	assert.deepEqual(await Promise.all(held), ['released', 'released']);
	assert.equal(await hold.wait(request, signal), 'not-needed');
	assert.equal(hold.held, 0);
	assert.equal(hold.mostHeld, 2);
});

test('a request whose time is over while the gateway still starts is not held any longer', async () => {
	const hold = new StartHold({limits, clock: () => 0});
	assert.equal(await hold.wait({arrivedAt: 0, deadlineMilliseconds: 2, bytes: 1}, new AbortController().signal), 'timeout');
});
