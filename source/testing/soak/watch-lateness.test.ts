import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {createHistory, type History} from './history.ts';
import {retryBounds} from './plan.ts';
import {wasLate, watchLateness} from './watch-lateness.ts';

/** Watches this process for a while, with a given share of time in which its event loop has work. */
async function watch(utilization: number, beside: () => void = () => undefined): Promise<History> {
	const history = createHistory(retryBounds.usual);
	const ending = new AbortController();
	const watching = watchLateness(history, ending.signal, () => ({utilization, active: 0, idle: 0}));
	await delay(100);
	beside();
	await delay(1500);
	ending.abort();
	await watching;
	return history;
}

test('a process whose event loop always has work is late, although each of its timers is in time', async () => {
	const history = await watch(0.99);
	assert.ok(wasLate(history, 0));
});

test('a process whose timers are late is late', async () => {
	const history = await watch(0.3, () => {
		const until = performance.now() + 400;
		while (performance.now() < until) {
			// Blocks the event loop.
		}
	});
	assert.ok(wasLate(history, 0));
});
