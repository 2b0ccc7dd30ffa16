import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EngineMonitor, type AbandonReason} from './engine-monitor.ts';
import {type EngineQuery} from './silence-decision.ts';

const report: EngineQuery = {
	kind: 'report',
	report: {
		waiting: 0, running: 1, usedTokens: 8000, memoryTokens: 88_000, heldTokens: 0, nextTokens: 0, startedAt: 1, reportsLeaving: false, saysLeaving: false, limit: {kind: 'none'}, runs: [],
	},
};

// A generation was taken from an engine that had come back while another engine was being acquired.
test('an engine that responds again while another one is acquired keeps its generation', async () => {
	const abandoned: AbandonReason[] = [];
	let isSuspended = true;
	const acquired = new AbortController();
	const monitor = new EngineMonitor({
		startedAt: 1,
		attemptId: 'a',
		deadline: performance.now() + 60_000,
		eventPauseMilliseconds: 700,
		targetMilliseconds: 4500,
		hasCopy: false,
		queryLoad: async () => isSuspended ? {kind: 'unresponsive'} : report,
		async acquireAlternative() {
			isSuspended = false;
			await delay(600);
			acquired.abort();
			return true;
		},
		onAbandon(reason) {
			abandoned.push(reason);
		},
		clock: () => performance.now(),
	});
	monitor.start();
	monitor.recordProgress(1);
	while (!acquired.signal.aborted) {
		await delay(50);
	}

	await delay(100);
	monitor.stop();
	assert.deepEqual(abandoned, []);
});
