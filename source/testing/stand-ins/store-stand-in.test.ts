import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {StoreStandIn} from './store-stand-in.ts';

const tables = ['servers'];

/** Contents of the rows that are there, by key. */
function contentsOf(store: StoreStandIn): Record<string, string> {
	return Object.fromEntries([...store.copy().rows.values()].filter(({deleted}) => !deleted).map(({key, value}) => [key, Buffer.from(value, 'base64').toString()]));
}

test('what a return of the store has lost is written again, and later writes stay', () => {
	const store = new StoreStandIn();
	store.put('servers', 'desk-1', 'first');
	const copy = store.copy();
	store.put('servers', 'desk-1', 'second');
	store.put('servers', 'desk-2', 'first');
	const before = store.copy();
	store.restore(copy);
	store.put('servers', 'desk-2', 'second');
	store.rewrite(before, tables);
	assert.deepEqual(contentsOf(store), {'desk-1': 'second', 'desk-2': 'second'});
});

test('an entry that is written after a second return is not removed by what the first one writes again', () => {
	const store = new StoreStandIn();
	store.put('servers', 'desk-1', 'first');
	const oldCopy = store.copy();
	store.put('servers', 'desk-2', 'first');
	store.remove('servers', 'desk-1');
	const before = store.copy();
	store.restore(before);
	store.restore(oldCopy);
	store.put('servers', 'desk-1', 'second');
	store.rewrite(before, tables);
	assert.deepEqual(contentsOf(store), {'desk-1': 'second', 'desk-2': 'first'});
});

test('of two overlapping returns, the latest write stays, whichever writes again first', () => {
	for (const isFirstFirst of [true, false]) {
		const store = new StoreStandIn();
		store.put('servers', 'desk-1', 'first');
		const copy = store.copy();
		store.put('servers', 'desk-1', 'second');
		const beforeFirst = store.copy();
		store.restore(copy);
		const beforeSecond = store.copy();
		store.restore(copy);
		for (const before of isFirstFirst ? [beforeFirst, beforeSecond] : [beforeSecond, beforeFirst]) {
			store.rewrite(before, tables);
		}

		assert.deepEqual(contentsOf(store), {'desk-1': 'second'});
	}
});
