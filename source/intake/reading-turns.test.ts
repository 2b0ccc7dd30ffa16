import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ReadingTurns, initialSliceBytes, nextSliceBytes} from './mod.ts';

/** Reads slices of connections in turns, each of which takes a time in milliseconds; returns the connections in order of their slices. */
function playTurns(turns: ReadingTurns<string>, count: number, costOf: (key: string) => number, startedAt = 0): string[] {
	const read: string[] = [];
	let now = startedAt;
	for (let turn = 0; turn < count; turn += 1) {
		for (const key of turns.startTurn(now)) {
			while (turns.mayRead(key)) {
				now += costOf(key);
				turns.record(key, costOf(key), now);
				read.push(key);
			}
		}
	}

	return read;
}

/** Lets connections wait for a turn. */
function fill(turns: ReadingTurns<string>, keys: readonly string[]): void {
	turns.startTurn(0);
	turns.record('first', 100, 0);
	for (const key of keys) {
		assert.ok(!turns.mayRead(key));
	}
}

test('among 200 connections whose bytes cost much time, all are read in turn', () => {
	const turns = new ReadingTurns<string>();
	const keys = Array.from({length: 200}, (_unused, index) => `crowd-${index}`);
	fill(turns, keys);
	const read = playTurns(turns, 200, () => 5);
	assert.deepEqual(new Set(read), new Set(keys));
	assert.equal(read.length, 200);
});

test('an ordinary connection is read in the next turn, before 200 that have used much time', () => {
	const turns = new ReadingTurns<string>();
	const keys = Array.from({length: 200}, (_unused, index) => `crowd-${index}`);
	fill(turns, keys);
	playTurns(turns, 250, () => 5);
	assert.ok(!turns.mayRead('ordinary'));
	assert.equal(turns.startTurn(2000).at(0), 'ordinary');
});

test('a single connection is read in every turn, whatever it costs', () => {
	const turns = new ReadingTurns<string>();
	fill(turns, ['only']);
	assert.equal(playTurns(turns, 50, () => 20).length, 50);
});

test('a connection that has closed does not wait any more', () => {
	const turns = new ReadingTurns<string>();
	fill(turns, ['left', 'stays']);
	turns.close('left');
	assert.deepEqual(turns.startTurn(1), ['stays']);
	assert.equal(turns.waiting, 0);
});

test('whatever slices cost, no turn exceeds its time by more than one slice', () => {
	fc.assert(fc.property(fc.array(fc.record({key: fc.constantFrom('a', 'b', 'c'), cost: fc.double({min: 0.01, max: 8, noNaN: true})}), {maxLength: 200}), slices => {
		const turns = new ReadingTurns<string>();
		let used = 0;
		let last = 0;
		for (const [now, {key, cost}] of slices.entries()) {
			if (turns.mayRead(key)) {
				turns.record(key, cost, now);
				used += cost;
				last = cost;
			} else {
				assert.ok(used - last < 5);
				turns.startTurn(now);
				used = 0;
			}
		}
	}));
});

test('slices shrink while they cost much time, and grow only while they are used in full', () => {
	let allowedBytes = initialSliceBytes;
	for (let slice = 0; slice < 5; slice += 1) {
		allowedBytes = nextSliceBytes({allowedBytes, bytes: allowedBytes, milliseconds: 10});
	}

	assert.equal(allowedBytes, 512);
	assert.equal(nextSliceBytes({allowedBytes: 4096, bytes: 4096, milliseconds: 0.1}), 8192);
	assert.equal(nextSliceBytes({allowedBytes: 4096, bytes: 100, milliseconds: 0.1}), 4096);
	assert.equal(nextSliceBytes({allowedBytes: 16_384, bytes: 16_384, milliseconds: 0.1}), 16_384);
});
