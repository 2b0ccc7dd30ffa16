import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EngineMonitor, type AbandonReason, type EngineMonitorOptions} from './engine-monitor.ts';
import {type EngineQuery} from './silence-decision.ts';

const report: EngineQuery & {kind: 'report'} = {
	kind: 'report',
	report: {
		waiting: 0, running: 1, usedTokens: 8000, memoryTokens: 88_000, heldTokens: 0, nextTokens: 0, startedAt: 1, reportsLeaving: false, saysLeaving: false, limit: {kind: 'none'}, runs: [],
	},
};

type MonitorTerms = Omit<EngineMonitorOptions, 'queryLoad' | 'acquireAlternative' | 'onAbandon'>;

function terms(options: Partial<MonitorTerms> = {}): MonitorTerms {
	return {
		startedAt: 1,
		attemptId: 'a',
		deadline: performance.now() + 60_000,
		eventPauseMilliseconds: 700,
		targetMilliseconds: 4500,
		hasCopy: false,
		isResumed: false,
		queueWatchedUntil: Number.NEGATIVE_INFINITY,
		clock: () => performance.now(),
		...options,
	};
}

// A generation was taken from an engine that had come back while another engine was being acquired.
test('an engine that responds again while another one is acquired keeps its generation', async () => {
	const abandoned: AbandonReason[] = [];
	let isSuspended = true;
	const acquired = new AbortController();
	const monitor = new EngineMonitor({
		...terms(),
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

/** Events that the caller of a resumed stream received from engines that were lost. */
const eventsBefore = 67;

/** Returns why an engine was left at which an attempt went on, by the events that its reports count one after the other, 250 ms apart. */
async function reasonsToLeave(reportedEvents: readonly number[]): Promise<AbandonReason[]> {
	const abandoned: AbandonReason[] = [];
	const remaining = [...reportedEvents];
	const finished = new AbortController();
	const monitor = new EngineMonitor({
		...terms({isResumed: true, hasCopy: true}),
		async queryLoad() {
			const events = remaining.shift()!;
			if (remaining.length === 0) {
				finished.abort();
			}

			return {kind: 'report', report: {...report.report, runs: [{attempt: 'a', tokens: 8000, events}]}};
		},
		acquireAlternative: async () => true,
		onAbandon(reason) {
			abandoned.push(reason);
			finished.abort();
		},
	});
	monitor.start();
	monitor.recordProgress(3);
	while (!finished.signal.aborted) {
		await delay(20);
	}

	await delay(20);
	monitor.stop();
	return abandoned;
}

// Load: many streams go on at other engines after a crash, which pause for a moment as they are full. An engine counts the events that the lost
// one generated, so each of these streams was left again at its first pause, and its prompt was read once more.
test('an engine at which a stream has resumed keeps it in a short pause, though it counts the events before', async () => {
	assert.deepEqual(await reasonsToLeave([eventsBefore + 3, eventsBefore + 5, eventsBefore + 8]), []);
});

test('an engine at which a stream has resumed is left when it generates events that do not arrive', async () => {
	const reasons = await reasonsToLeave([eventsBefore + 3, eventsBefore + 9, eventsBefore + 15, eventsBefore + 21]);
	assert.deepEqual(reasons.map(({message}) => message), ['the engine has generated events that do not arrive']);
});
