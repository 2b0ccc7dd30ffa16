import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type EngineReport} from '../balancing/mod.ts';
import {showsQueueProgress} from './queue-progress.ts';
import {decideSilenceAction, type SilentGeneration} from './silence-decision.ts';

/** Report of an engine that answers one request, reads the prompt of another, and has two more waiting. */
const report: EngineReport = {
	waiting: 2, running: 2, usedTokens: 12_000, memoryTokens: 88_000, heldTokens: 0, nextTokens: 8000, startedAt: 1, reportsLeaving: false, saysLeaving: false,
	limit: {kind: 'none'}, runs: [{attempt: 'a', tokens: 8000, events: 4}],
};

const progress: Record<string, Partial<EngineReport>> = {
	'has read on in a prompt': {usedTokens: 13_000},
	'has begun to answer a request': {runs: [...report.runs, {attempt: 'b', tokens: 8000, events: 1}], usedTokens: 16_000},
	'has admitted a waiting request': {waiting: 1, running: 3},
};

// Load: a burst of long prompts at one engine, of which the last waits for seconds.
for (const [description, change] of Object.entries(progress)) {
	test(`the queue of an engine moves that ${description}`, () => {
		assert.ok(showsQueueProgress({...report, ...change}, report));
	});
}

const noProgress: Record<string, Partial<EngineReport>> = {
	'reports the same': {},
	'goes on with the request that it answers': {runs: [{attempt: 'a', tokens: 8300, events: 54}], usedTokens: 12_300},
	'is left by requests that wait': {waiting: 0},
	'is left by the request that it answers': {runs: [], running: 1, usedTokens: 4200},
	'receives a copy': {usedTokens: 16_000, heldTokens: 4000},
	'has restarted': {startedAt: 2, usedTokens: 13_000},
};

// Load: an engine hangs or has no room while the callers of the requests that wait there give up one after the other.
for (const [description, change] of Object.entries(noProgress)) {
	test(`the queue of an engine stands still that ${description}`, () => {
		assert.ok(!showsQueueProgress({...report, ...change}, report));
	});
}

/** A generation that waits for its first event at an engine that reports. */
function actionAt(silentMilliseconds: number, sinceQueueMovedMilliseconds: number | undefined, options: Partial<SilentGeneration> = {}) {
	return decideSilenceAction({
		started: false,
		silentMilliseconds,
		idleMilliseconds: silentMilliseconds,
		sinceQueueMovedMilliseconds,
		sinceAliveMilliseconds: 0,
		condition: 'alive',
		unansweredMilliseconds: 0,
		eventPauseMilliseconds: 700,
		targetMilliseconds: 4500,
		hasCopy: false,
		...options,
	});
}

// Load: an engine that reads seven prompts before this one; another engine would read this one from its start.
test('a generation stays at an engine whose queue moves, as long as another engine could not answer its caller either', () => {
	assert.equal(actionAt(7300, 300), 'wait');
	assert.equal(actionAt(13_400, 300), 'wait');
	assert.equal(actionAt(13_600, 300), 'leave');
});

test('an engine whose queue has stopped is left at the same time as one whose queue never moved', () => {
	assert.equal(actionAt(7100, 2400), 'wait');
	assert.equal(actionAt(7300, 2400), 'leave');
	assert.equal(actionAt(7300, undefined), 'leave');
});

test('an engine whose queue moved is left as soon as any other when it no longer reports, or a stream has begun', () => {
	assert.equal(actionAt(1700, 100, {condition: 'unresponsive', unansweredMilliseconds: 1700}), 'leave');
	assert.equal(actionAt(4300, 100, {started: true}), 'leave');
});
