import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {type EngineReport} from '../balancing/mod.ts';
import {eventsInOrder, followsEvent} from './event-order.ts';
import {EventSplitter} from './event-splitter.ts';
import {mayRunAgain} from './retry-decision.ts';
import {
	countsAsDead, decideOnSilence, lacksAttempt, provesRestart, withholdsEvents,
} from './silence-decision.ts';

const report = (changes: Partial<EngineReport> = {}): EngineReport => ({
	waiting: 0, running: 0, usedTokens: 0, memoryTokens: 88_000, heldTokens: 0, nextTokens: 0, startedAt: 1, reportsLeaving: false, saysLeaving: false, runs: [], ...changes,
});

const retry = {
	kind: 'idempotent', resumable: false, end: 'lost', runs: 1, maximumRuns: 2, leftMilliseconds: 500,
} as const;

test('an event that the caller already has does not follow', () => {
	assert.equal(followsEvent(undefined, '1'), true);
	assert.equal(followsEvent('9', '10'), true);
	assert.equal(followsEvent('9', '12'), true);
	assert.equal(followsEvent('9', '9'), false);
	assert.equal(followsEvent('10', '9'), false);
	assert.equal(followsEvent('10', undefined), true);
	assert.equal(followsEvent('a', 'a'), true);
});

test('events before one that does not follow are kept', () => {
	const idsOf = (last: string | undefined, ids: Array<string | undefined>) => eventsInOrder(last, ids.map(id => ({id}))).map(({id}) => id);
	assert.deepEqual(idsOf(undefined, ['1', '2', '2', '3']), ['1', '2']);
	assert.deepEqual(idsOf('4', ['5', undefined, '6']), ['5', undefined, '6']);
	assert.deepEqual(idsOf('4', ['4', '5']), []);
	assert.deepEqual(idsOf('4', []), []);
});

test('what may not be repeated goes on only where it was surely not run', () => {
	assert.equal(mayRunAgain({...retry, kind: 'at-most-once'}), false);
	assert.equal(mayRunAgain({...retry, kind: 'at-most-once', end: 'failed'}), false);
	assert.equal(mayRunAgain({
		...retry, kind: 'at-most-once', end: 'not-run', runs: 0,
	}), true);
	assert.equal(mayRunAgain({...retry, kind: 'generation'}), false);
	assert.equal(mayRunAgain({...retry, kind: 'generation', resumable: true}), true);
});

test('runs stay within their number and their time', () => {
	assert.equal(mayRunAgain(retry), true);
	assert.equal(mayRunAgain({...retry, runs: 2}), false);
	assert.equal(mayRunAgain({...retry, leftMilliseconds: 5}), false);
});

test('events come out whole and in order however their bytes are cut', () => {
	fc.assert(fc.property(fc.array(fc.string({maxLength: 20}), {maxLength: 10}), fc.array(fc.nat({max: 12}), {maxLength: 60}), fc.constantFrom('\n', '\r\n'), (texts, cuts, lineEnd) => {
		const stream = texts.map((text, index) => `id: ${index + 1}${lineEnd}data: ${text.replaceAll(/[\r\n]/gv, ' ')}${lineEnd}${lineEnd}`).join('');
		const bytes = Buffer.from(stream);
		const splitter = new EventSplitter();
		const ids: Array<string | undefined> = [];
		let joined = '';
		let from = 0;
		for (const length of [...cuts, bytes.length]) {
			for (const event of splitter.push(bytes.subarray(from, from + length))) {
				ids.push(event.id);
				joined += Buffer.from(event.bytes).toString();
			}

			from += length;
		}

		assert.deepEqual(ids, texts.map((_text, index) => String(index + 1)));
		assert.equal(joined, stream);
		assert.equal(splitter.rest.length, 0);
	}));
});

test('an event that is not whole is kept back', () => {
	const splitter = new EventSplitter();
	assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).length, 1);
	assert.equal(Buffer.from(splitter.rest).toString(), 'id: 2\nda');
});

const silent = {
	started: true, silentMilliseconds: 100, unprovenMilliseconds: 100, eventPauseMilliseconds: 700, targetMilliseconds: 4500, hasCopy: true,
};

test('a silent engine is asked in time to go on within the pause that callers accept, and left only after several of them', () => {
	assert.equal(decideOnSilence(silent), 'wait');
	assert.equal(decideOnSilence({...silent, silentMilliseconds: 300, unprovenMilliseconds: 300}), 'ask');
	assert.equal(decideOnSilence({...silent, silentMilliseconds: 900, unprovenMilliseconds: 100}), 'wait');
	assert.equal(decideOnSilence({...silent, silentMilliseconds: 2200, unprovenMilliseconds: 100}), 'leave');
	assert.equal(decideOnSilence({
		...silent, hasCopy: false, silentMilliseconds: 2200, unprovenMilliseconds: 100,
	}), 'wait');
});

test('an engine that does not answer questions is left at once where there is a copy, and after the accepted pause where there is none', () => {
	const questions = {
		unanswered: 2, silentMilliseconds: 450, eventPauseMilliseconds: 700, hasCopy: true,
	};
	assert.equal(countsAsDead(questions), true);
	assert.equal(countsAsDead({...questions, unanswered: 1}), false);
	assert.equal(countsAsDead({...questions, hasCopy: false}), false);
	assert.equal(countsAsDead({...questions, hasCopy: false, silentMilliseconds: 700}), true);
});

test('an engine that reads other prompts first is not left while it is alive', () => {
	assert.equal(decideOnSilence({
		...silent, started: false, silentMilliseconds: 4000, unprovenMilliseconds: 100,
	}), 'wait');
	assert.equal(decideOnSilence({
		...silent, started: false, silentMilliseconds: 7500, unprovenMilliseconds: 100,
	}), 'leave');
});

test('reports show an engine that started anew, lacks the attempt, or has made events that did not arrive', () => {
	assert.equal(provesRestart(report({startedAt: 2}), 1), true);
	assert.equal(provesRestart(report({startedAt: 0}), 1), false);
	assert.equal(lacksAttempt(report(), 'a'), true);
	assert.equal(lacksAttempt(report({waiting: 1}), 'a'), false);
	assert.equal(lacksAttempt(report({running: 1}), 'a'), false);
	const runs = [{attempt: 'a', tokens: 8000, events: 20}];
	assert.equal(lacksAttempt(report({running: 1, runs}), 'a'), false);
	assert.equal(withholdsEvents(report({running: 1, runs}), 'a', 0), true);
	assert.equal(withholdsEvents(report({running: 1, runs}), 'a', 15), false);
});
