import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {type EngineReport} from '../balancing/mod.ts';
import {eventsInOrder, followsEvent} from './event-order.ts';
import {EventSplitter} from './event-splitter.ts';
import {mayRetry} from './retry-decision.ts';
import {
	conditionOf, decideSilenceAction, lacksAttempt, showsRestart, showsWork, hasUndeliveredEvents, type SilentGeneration,
} from './silence-decision.ts';

const report = (changes: Partial<EngineReport> = {}): EngineReport => ({
	waiting: 0, running: 0, usedTokens: 0, memoryTokens: 88_000, heldTokens: 0, nextTokens: 0, startedAt: 1, reportsLeaving: false, saysLeaving: false, limit: {kind: 'none'}, runs: [], ...changes,
});

const retry = {
	kind: 'idempotent', resumable: false, end: 'lost', runs: 1, maximumRuns: 2, remainingMilliseconds: 500,
} as const;

test('an event that the caller already received is out of order', () => {
	assert.equal(followsEvent(undefined, '1'), true);
	assert.equal(followsEvent('9', '10'), true);
	assert.equal(followsEvent('9', '12'), true);
	assert.equal(followsEvent('9', '9'), false);
	assert.equal(followsEvent('10', '9'), false);
	assert.equal(followsEvent('10', undefined), true);
	assert.equal(followsEvent('a', 'a'), true);
});

test('events before the first one out of order are returned', () => {
	const idsOf = (last: string | undefined, ids: Array<string | undefined>) => eventsInOrder(last, ids.map(id => ({id}))).map(({id}) => id);
	assert.deepEqual(idsOf(undefined, ['1', '2', '2', '3']), ['1', '2']);
	assert.deepEqual(idsOf('4', ['5', undefined, '6']), ['5', undefined, '6']);
	assert.deepEqual(idsOf('4', ['4', '5']), []);
	assert.deepEqual(idsOf('4', []), []);
});

test('a request that must not be repeated is retried only if it certainly was not run', () => {
	assert.equal(mayRetry({...retry, kind: 'at-most-once'}), false);
	assert.equal(mayRetry({...retry, kind: 'at-most-once', end: 'failed'}), false);
	assert.equal(mayRetry({
		...retry, kind: 'at-most-once', end: 'not-run', runs: 0,
	}), true);
	assert.equal(mayRetry({...retry, kind: 'generation'}), false);
	assert.equal(mayRetry({...retry, kind: 'generation', resumable: true}), true);
});

test('retries stay within the maximum number of runs and the deadline', () => {
	assert.equal(mayRetry(retry), true);
	assert.equal(mayRetry({...retry, runs: 2}), false);
	assert.equal(mayRetry({...retry, remainingMilliseconds: 5}), false);
});

test('events are returned complete and in order for any chunking of the stream', () => {
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
		assert.equal(splitter.incompleteBytes.length, 0);
	}));
});

test('an incomplete event stays in the buffer', () => {
	const splitter = new EventSplitter();
	assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).length, 1);
	assert.equal(Buffer.from(splitter.incompleteBytes).toString(), 'id: 2\nda');
});

const silentFor = (milliseconds: number) => ({silentMilliseconds: milliseconds, idleMilliseconds: milliseconds});

const silent: SilentGeneration = {
	...silentFor(100), started: true, sinceAliveMilliseconds: 100, condition: 'alive', unansweredMilliseconds: 0, eventPauseMilliseconds: 700, targetMilliseconds: 4500, hasCopy: true,
};

test('a silent engine is queried within the accepted event pause, and left only after a multiple of it', () => {
	assert.equal(decideSilenceAction(silent), 'wait');
	assert.equal(decideSilenceAction({...silent, ...silentFor(300), sinceAliveMilliseconds: 300}), 'query');
	assert.equal(decideSilenceAction({...silent, ...silentFor(900)}), 'wait');
	assert.equal(decideSilenceAction({...silent, ...silentFor(2200)}), 'leave');
	assert.equal(decideSilenceAction({...silent, ...silentFor(2200), hasCopy: false}), 'wait');
	assert.equal(decideSilenceAction({...silent, ...silentFor(4200), hasCopy: false}), 'leave');
});

test('an engine that accepts no connection is left immediately if there is a copy, and after the accepted event pause otherwise', () => {
	assert.equal(conditionOf(['unreachable']), 'alive');
	assert.equal(conditionOf(['unreachable', 'unreachable']), 'unreachable');
	const unreachable = {...silent, condition: 'unreachable', sinceAliveMilliseconds: 450} as const;
	assert.equal(decideSilenceAction({...unreachable, ...silentFor(450)}), 'leave');
	assert.equal(decideSilenceAction({...unreachable, ...silentFor(450), hasCopy: false}), 'query');
	assert.equal(decideSilenceAction({...unreachable, ...silentFor(700), hasCopy: false}), 'leave');
});

// A sound engine may be suspended for a second or so, accept connections meanwhile, and go on with all that it holds.
test('an engine that accepts connections and does not respond is not left within 1.5 s, with a copy or without, and left before callers give up', () => {
	assert.equal(conditionOf(['unresponsive', 'unreachable']), 'unresponsive');
	const routes = fc.record({
		started: fc.boolean(), hasCopy: fc.boolean(), eventPauseMilliseconds: fc.integer({min: 50, max: 2000}), targetMilliseconds: fc.integer({min: 100, max: 5000}),
	});
	fc.assert(fc.property(routes, fc.integer({min: 0, max: 9000}), (terms, before) => {
		const route = {...silent, ...terms};
		const {eventPauseMilliseconds, targetMilliseconds} = terms;
		const suspended = {...route, condition: 'unresponsive', unansweredMilliseconds: 1500} as const;
		assert.notEqual(decideSilenceAction({...suspended, ...silentFor(before + 1500)}), 'leave');
		const patience = Math.max(2000, eventPauseMilliseconds * 8, targetMilliseconds * 4);
		const queriedAt = Array.from({length: patience}, (_unused, at) => at).find(at => decideSilenceAction({...route, ...silentFor(at), sinceAliveMilliseconds: at}) !== 'wait')!;
		assert.equal(decideSilenceAction({...suspended, ...silentFor(patience), unansweredMilliseconds: patience - queriedAt}), 'leave');
	}));
});

test('an engine that processes other prompts first is not left before the stall timeout while it is alive', () => {
	assert.equal(decideSilenceAction({...silent, ...silentFor(4000), started: false}), 'wait');
	assert.equal(decideSilenceAction({...silent, ...silentFor(7500), started: false}), 'leave');
});

test('an engine that reports work on a silent generation is not left, one that waits with it or does not go on is', () => {
	const runs = [{attempt: 'a', tokens: 8000, events: 20}];
	assert.equal(showsWork(report({running: 1}), undefined, 'a'), true, 'reads its prompt again');
	assert.equal(showsWork(report({waiting: 1}), undefined, 'a'), false, 'waits');
	assert.equal(showsWork(report({running: 1, runs}), undefined, 'a'), false, 'not known yet');
	assert.equal(showsWork(report({running: 1, runs}), report({running: 1, runs}), 'a'), false, 'has stalled');
	const later = [{attempt: 'a', tokens: 8006, events: 20}];
	assert.equal(showsWork(report({running: 1, runs: later}), report({running: 1, runs}), 'a'), true);
	assert.equal(decideSilenceAction({
		...silent, ...silentFor(4300), hasCopy: false, idleMilliseconds: 250,
	}), 'wait');
});

test('load reports reveal a restarted engine, a missing attempt, and generated events that did not arrive', () => {
	assert.equal(showsRestart(report({startedAt: 2}), 1), true);
	assert.equal(showsRestart(report({startedAt: 0}), 1), false);
	assert.equal(lacksAttempt(report(), 'a'), true);
	assert.equal(lacksAttempt(report({waiting: 1}), 'a'), false);
	assert.equal(lacksAttempt(report({running: 1}), 'a'), false);
	const runs = [{attempt: 'a', tokens: 8000, events: 20}];
	assert.equal(lacksAttempt(report({running: 1, runs}), 'a'), false);
	assert.equal(hasUndeliveredEvents(report({running: 1, runs}), 'a', 0), true);
	assert.equal(hasUndeliveredEvents(report({running: 1, runs}), 'a', 15), false);
});

test('an event is marked if one of its lines is neither a field nor a comment, in whatever pieces it arrives', () => {
	const lineBreak = fc.constantFrom('\n', '\r\n');
	const field = fc.constantFrom<string[]>('id: 7', 'data: token', 'data', ': comment', ':', 'event: end', 'retry: 5', 'weight-versions:3', 'data: HTTP/1.1 503 full');
	const foreign = fc.constantFrom<string[]>('HTTP/1.1 503 Service Unavailable', '{"error":"full"}', 'two words', ' id: 1', '<html>');
	fc.assert(fc.property(fc.array(field, {minLength: 1, maxLength: 4}), fc.option(foreign), fc.nat(4), lineBreak, fc.integer({min: 1, max: 9}), (fields, odd, at, end, size) => {
		const lines = odd === null ? fields : fields.toSpliced(at, 0, odd);
		const bytes = new TextEncoder().encode(`${lines.join(end)}${end}${end}`);
		const splitter = new EventSplitter();
		const events = Array.from({length: Math.ceil(bytes.length / size)}, (_unused, index) => splitter.push(bytes.subarray(index * size, (index + 1) * size))).flat();
		assert.deepEqual(events.map(({hasForeignLine}) => hasForeignLine), [odd !== null]);
	}));
});
