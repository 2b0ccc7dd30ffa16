import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {err, ok, type Result} from 'neverthrow';
import {type EndpointEntry} from '../registry/mod.ts';
import {ageOf} from '../clocks/mod.ts';
import {
	type StoreFailure, type StoredRows, RowCache, revisionOf,
} from '../stored-rows/mod.ts';
import {createLogger} from '../telemetry/logger.ts';
import {
	ConfigurationCache, EndpointList, PollRenewal, StoreClock, divideUpdateTime, followTable,
} from './mod.ts';

const at = (steady: number, wall = steady) => ({steady, wall});

const endpoint = (id: string, changes: Partial<EndpointEntry> = {}): EndpointEntry => ({
	id, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'zone-a', slots: 6, leaving: false, startedAt: 1, ...changes,
});

const idsOf = (list: EndpointList, now = 0) => list.endpointsOf('desk', now).map(({id}) => id);

test('a host suspension that the steady clock does not count makes the age infinite', () => {
	assert.equal(ageOf(at(1000, 50_000), at(1500, 50_500)), 500);
	assert.equal(ageOf(at(1000, 50_000), at(1500, 54_000)), Number.POSITIVE_INFINITY);
	assert.equal(ageOf(at(1000, 50_000), at(1500, 47_000)), 500);
});

test('an older configuration version or confirmation does not replace a newer one', () => {
	const cache = new ConfigurationCache();
	const configuration = {
		version: 5, routes: [], services: [], limits: {
			headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
		},
	};
	assert.equal(cache.update(configuration), true);
	assert.equal(cache.update({...configuration, version: 4}), false);
	cache.confirm(at(2000));
	cache.confirm(at(1000));
	assert.deepEqual(cache.snapshot(at(2500)), {table: cache.table, ageMilliseconds: 500});
	assert.equal(cache.table?.version, 5);
});

test('an endpoint that was seen leaving stays so for that incarnation', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}, {id: 'b', entry: endpoint('b'), revision: 2}], 0);
	list.apply([{id: 'a', entry: endpoint('a', {leaving: true}), revision: 3}], 0);
	assert.deepEqual(idsOf(list), ['b']);
	list.apply([{id: 'a', entry: endpoint('a'), revision: 4}], 0);
	assert.deepEqual(idsOf(list), ['b']);
	list.apply([{id: 'a', entry: endpoint('a', {startedAt: 2}), revision: 5}], 0);
	assert.deepEqual(idsOf(list), ['b', 'a']);
});

test('an older change does not undo a newer one', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 5}], 0);
	list.apply([{id: 'a', entry: undefined, revision: 6}], 0);
	list.apply([{id: 'a', entry: endpoint('a'), revision: 5}], 0);
	assert.deepEqual(idsOf(list), []);
});

test('replacing the whole list removes the entries that it lacks', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}, {id: 'b', entry: endpoint('b'), revision: 2}], 0);
	list.replace([{id: 'b', entry: endpoint('b'), revision: 2}], 9, 0);
	assert.deepEqual(idsOf(list), ['b']);
});

test('an entry that expired during a store outage is used until the time to register again is over', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}, {id: 'b', entry: endpoint('b'), revision: 2}], 0);
	list.recordOutageEnd(10_000);
	list.apply([{id: 'a', entry: undefined, revision: 3}, {id: 'b', entry: undefined, revision: 4}], 10_100);
	assert.deepEqual(idsOf(list, 11_000), ['a', 'b']);
	list.apply([{id: 'b', entry: endpoint('b'), revision: 5}], 11_500);
	assert.deepEqual(idsOf(list, 12_001), ['b']);
});

test('an excluded incarnation of an endpoint is not used again', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}], 0);
	list.excludeIncarnation('a', 1);
	assert.deepEqual(idsOf(list), []);
	list.apply([{id: 'a', entry: endpoint('a', {startedAt: 2}), revision: 2}], 0);
	assert.deepEqual(idsOf(list), ['a']);
});

test('a row with a new revision but unchanged content is not sent to other gateways', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}], 0);
	list.apply([{id: 'a', entry: endpoint('a'), revision: 2}], 0);
	assert.deepEqual(list.changesSince(1, 0), []);
	assert.deepEqual(list.changesSince(0, 0).map(({id}) => id), ['a']);
});

test('the response to a long poll shows the store content at the time of the response', () => {
	const clock = new StoreClock();
	assert.deepEqual(clock.readTime(at(1000), at(1006), 50_003), at(1000));
	assert.deepEqual(clock.readTime(at(1006), at(2012), 51_005), at(2002));
	assert.deepEqual(clock.readTime(at(2012), at(2020), undefined), at(2012));
});

test('after a host suspension the offset to the store\'s clock is estimated anew', () => {
	const clock = new StoreClock();
	clock.readTime(at(1000), at(1006), 50_003);
	assert.deepEqual(clock.readTime(at(1010), at(1016), 55_000), at(1010));
	assert.deepEqual(clock.readTime(at(1016), at(2020), 56_000), at(2010));
});

test('the update times stay within their bound', () => {
	const {
		storePollMilliseconds, batchMilliseconds, sourcePollMilliseconds, sourceBehindMilliseconds, sourceFallbackMilliseconds, storeFallbackMilliseconds,
	} = divideUpdateTime(2000);
	assert.ok(batchMilliseconds < storePollMilliseconds);
	assert.ok(storePollMilliseconds + sourcePollMilliseconds < sourceFallbackMilliseconds);
	assert.ok(sourceFallbackMilliseconds < storeFallbackMilliseconds);
	assert.ok(storeFallbackMilliseconds < 2000);
	assert.ok(storePollMilliseconds < sourceBehindMilliseconds);
	// One more request fits between detecting that a source has fallen behind and reading from the store.
	assert.ok(sourceBehindMilliseconds + (1.1 * sourcePollMilliseconds) < storeFallbackMilliseconds);
});

/** Options of a follower of a table that ignores what it receives. */
function followerOptions() {
	return {
		table: 'servers',
		listener: {replace: () => undefined, apply: () => undefined, confirm: () => undefined},
		logger: createLogger('test', {level: 'silent'}),
		pollMilliseconds: 1000,
		batchMilliseconds: 0,
		readClock: () => at(performance.now()),
		storeClock: new StoreClock(),
		renewal: new PollRenewal(),
		random: () => 0,
	};
}

test('a follower reads the whole table again when the store has dropped its history, and reports when the store responds again', async () => {
	const received: string[] = [];
	const rowsAt = (revision: number): Result<StoredRows, StoreFailure> => ok({rows: [{key: `row-${revision}`, content: undefined, revision}], revision, storeMilliseconds: undefined});
	const responses = [rowsAt(4), err<StoredRows, StoreFailure>({kind: 'history-lost', message: 'dropped'}), err<StoredRows, StoreFailure>({kind: 'refused', message: 'busy'}), rowsAt(5)];
	const ending = new AbortController();
	let reads = 0;
	const store = {
		async readTable() {
			reads += 1;
			return reads === 1 ? rowsAt(3) : responses.shift()!;
		},
		async changes(): Promise<Result<StoredRows, StoreFailure>> {
			const next = responses.shift();
			if (!next) {
				ending.abort();
				return err({kind: 'refused', message: 'the test is over'});
			}

			return next;
		},
	};
	await followTable({
		store,
		...followerOptions(),
		listener: {
			replace(rows) {
				received.push(`all ${rows[0]!.key}`);
			},
			apply(rows) {
				received.push(`some ${rows[0]!.key}`);
			},
			confirm: () => undefined,
			recovered() {
				received.push('recovered');
			},
		},
		pollMilliseconds: 1,
	}, ending.signal);
	assert.deepEqual(received, ['all row-3', 'some row-4', 'all row-5', 'recovered']);
});

test('when one follower gets no response, the others poll again instead of waiting on connections that may be dead', async () => {
	const renewal = new PollRenewal();
	const ending = new AbortController();
	const polls: string[] = [];
	const waits: number[] = [];
	const read = async () => ok<StoredRows, StoreFailure>({rows: [], revision: 1, storeMilliseconds: undefined});
	const follow = async (table: string, changes: (signal: AbortSignal) => Promise<Result<StoredRows, StoreFailure>>) => followTable({
		...followerOptions(),
		store: {
			readTable: read,
			async changes(_table, _revision, waitMilliseconds, signal) {
				polls.push(table);
				if (table === 'waiting') {
					waits.push(waitMilliseconds);
				}

				return changes(signal!);
			},
		},
		table,
		pollMilliseconds: 10_000,
		renewal,
	}, ending.signal);
	const waiting = follow('waiting', async signal => new Promise(resolve => {
		signal.addEventListener('abort', () => {
			resolve(err({kind: 'refused', message: 'ended'}));
		});
	}));
	const silent = follow('silent', async () => {
		if (polls.filter(table => table === 'waiting').length > 1) {
			ending.abort();
		}

		return err({kind: 'unknown', message: 'no answer'});
	});
	await Promise.all([waiting, silent]);
	assert.deepEqual(waits, [10_000, 0]);
});

test('the first poll after a failure or an interruption does not wait for a change, so that an age is known at once', async () => {
	const ending = new AbortController();
	const waits: number[] = [];
	const response = ok<StoredRows, StoreFailure>({rows: [], revision: 1, storeMilliseconds: undefined});
	const responses = [response, err<StoredRows, StoreFailure>({kind: 'refused', message: 'no answer'}), response, response, response, response];
	let asked = 0;
	await followTable({
		...followerOptions(),
		store: {
			readTable: async () => response,
			async changes(_table, _revision, waitMilliseconds) {
				waits.push(waitMilliseconds);
				if (waits.length === responses.length) {
					ending.abort();
				}

				return responses[waits.length - 1]!;
			},
		},
		shouldFollow() {
			asked += 1;
			// Another gateway is followed for a moment before the fifth poll of changes.
			return asked !== 6;
		},
	}, ending.signal);
	assert.deepEqual(waits, [1000, 1000, 0, 1000, 0, 1000]);
});

test('the backoff grows where the store answers polls without a wait only', async () => {
	const ending = new AbortController();
	const response = ok<StoredRows, StoreFailure>({rows: [], revision: 1, storeMilliseconds: undefined});
	const failedAt: number[] = [];
	await followTable({
		...followerOptions(),
		store: {
			readTable: async () => response,
			async changes(_table, _revision, waitMilliseconds) {
				if (waitMilliseconds === 0) {
					return response;
				}

				failedAt.push(performance.now());
				if (failedAt.length === 4) {
					ending.abort();
				}

				return err({kind: 'refused', message: 'no long polls'});
			},
		},
	}, ending.signal);
	assert.ok(failedAt[3]! - failedAt[2]! >= 390, failedAt.join(' '));
});

test('an endpoint that announced that it is leaving is not used again in that incarnation, also by gateways that receive the announcement', () => {
	const [list, other] = [new EndpointList(), new EndpointList()];
	for (const each of [list, other]) {
		each.apply([{id: 'one', entry: endpoint('one'), revision: 1}], 0);
	}

	const incarnation = {id: 'one', startedAt: endpoint('one').startedAt};
	assert.equal(list.markLeaving(incarnation, 100), true);
	assert.equal(list.markLeaving(incarnation, 200), false);
	assert.deepEqual(list.leavingIncarnations(1100), [{...incarnation, ageMilliseconds: 1000}]);
	other.mergeLeaving(list.leavingIncarnations(1100), 5000);
	for (const each of [list, other]) {
		assert.deepEqual(each.endpointsOf('desk', 5000), []);
		assert.equal(each.stateOf(incarnation), 'leaving');
		each.apply([{id: 'one', entry: {...endpoint('one'), startedAt: incarnation.startedAt + 1}, revision: 2}], 6000);
		assert.equal(each.endpointsOf('desk', 6000).length, 1);
		assert.equal(each.stateOf(incarnation), 'replaced');
	}

	assert.deepEqual(list.leavingIncarnations(60_000), []);
	assert.equal(list.stateOf({id: 'unknown', startedAt: 1}), 'removed');
});

// A gateway forgot that an endpoint is leaving when another one told it of the leaving of the endpoint's earlier incarnation.
test('gateways that exchange announcements in any order know of the leaving of each incarnation of an endpoint', () => {
	const starts = [1, 2, 3];
	const exchange = fc.record({from: fc.nat(2), to: fc.nat(2)});
	const announcement = fc.record({gateway: fc.nat(2), startedAt: fc.constantFrom(...starts)});
	fc.assert(fc.property(fc.array(announcement, {maxLength: 6}), fc.array(exchange, {maxLength: 8}), (announcements, exchanges) => {
		const lists = [new EndpointList(), new EndpointList(), new EndpointList()];
		const known = lists.map(() => new Set<number>());
		for (const {gateway, startedAt} of announcements) {
			lists[gateway]!.markLeaving({id: 'one', startedAt}, 100);
			known[gateway]!.add(startedAt);
		}

		for (const {from, to} of exchanges) {
			lists[to]!.mergeLeaving(lists[from]!.leavingIncarnations(200), 200);
			known[to] = new Set([...known[to]!, ...known[from]!]);
		}

		for (const [index, list] of lists.entries()) {
			for (const startedAt of starts) {
				list.apply([{id: 'one', entry: endpoint('one', {startedAt}), revision: startedAt}], 300);
				assert.equal(list.endpointsOf('desk', 300).length === 0, known[index]!.has(startedAt), `gateway ${index}, start ${startedAt}`);
			}
		}
	}));
});

test('an incarnation stays excluded when another one of the same endpoint is excluded', () => {
	const list = new EndpointList();
	list.excludeIncarnation('a', 1);
	list.excludeIncarnation('a', 2);
	for (const startedAt of [1, 2]) {
		list.apply([{id: 'a', entry: endpoint('a', {startedAt}), revision: startedAt}], 0);
		assert.deepEqual(idsOf(list), []);
	}
});

test('an entry that was removed before the store came back from an older copy stays removed until it is written again', () => {
	const list = new EndpointList();
	const entry = endpoint('desk-1');
	list.apply([{id: 'desk-1', entry, revision: revisionOf(1, 40)}], 0);
	list.apply([{id: 'desk-1', revision: revisionOf(1, 41)}], 0);
	list.confirm(revisionOf(1, 41), at(0));
	// Another gateway may have told of the return first.
	list.confirm(revisionOf(2, 30), at(0));
	for (let read = 0; read < 2; read += 1) {
		list.replace([{id: 'desk-1', entry, revision: revisionOf(2, 30)}], revisionOf(2, 30), 0);
		assert.deepEqual(idsOf(list), []);
	}

	list.apply([{id: 'desk-1', entry, revision: revisionOf(2, 31)}], 0);
	assert.deepEqual(idsOf(list), ['desk-1']);
});

/** Time within which the platform drops the entry of an endpoint that is gone, in milliseconds: three heartbeats of 1.2 s, and two seconds after a return of the store. */
const dropMilliseconds = 5600;

test('an entry that was written again before a gateway reads the list of a restored store is used some seconds later', () => {
	const list = new EndpointList();
	const entry = endpoint('desk-1');
	list.apply([{id: 'desk-1', entry, revision: revisionOf(1, 40)}], 0);
	list.apply([{id: 'desk-1', revision: revisionOf(1, 41)}], 0);
	for (const now of [0, dropMilliseconds]) {
		list.replace([{id: 'desk-1', entry, revision: revisionOf(2, 35)}], revisionOf(2, 36), now);
		list.confirm(revisionOf(2, 36), at(now));
	}

	assert.deepEqual(idsOf(list, dropMilliseconds), ['desk-1']);
});

test('an entry from an older copy whose endpoint is gone is used neither before nor after the store drops it', () => {
	const list = new EndpointList();
	const entry = endpoint('desk-1');
	list.apply([{id: 'desk-1', entry, revision: revisionOf(1, 40)}], 0);
	list.apply([{id: 'desk-1', revision: revisionOf(1, 41)}], 0);
	list.replace([{id: 'desk-1', entry, revision: revisionOf(2, 30)}], revisionOf(2, 30), 0);
	assert.deepEqual(idsOf(list, dropMilliseconds - 1), []);
	list.apply([{id: 'desk-1', revision: revisionOf(2, 31)}], dropMilliseconds - 1);
	assert.deepEqual(idsOf(list, 2 * dropMilliseconds), []);
});

test('a gateway that receives the list of a restored store from another one uses a removed entry no sooner than that one', () => {
	const [sender, receiver] = [new EndpointList(), new EndpointList()];
	const entry = endpoint('desk-1');
	for (const list of [sender, receiver]) {
		list.apply([{id: 'desk-1', entry, revision: revisionOf(1, 40)}], 0);
		list.apply([{id: 'desk-1', revision: revisionOf(1, 41)}], 0);
		list.confirm(revisionOf(1, 41), at(0));
	}

	sender.replace([{id: 'desk-1', entry, revision: revisionOf(2, 35)}], revisionOf(2, 36), 0);
	receiver.apply(sender.changesSince(receiver.revision, 1000), 1000);
	receiver.confirm(revisionOf(2, 36), at(1000));
	for (const list of [sender, receiver]) {
		assert.deepEqual(idsOf(list, dropMilliseconds - 1), []);
		assert.deepEqual(idsOf(list, dropMilliseconds), ['desk-1']);
	}
});

/** Creates the lists of two gateways that know an entry, of which only the receiver has seen its removal, at revision 41. */
function createPairWithRemoval() {
	const [sender, receiver] = [new EndpointList(), new EndpointList()];
	const entry = endpoint('desk-1');
	for (const list of [sender, receiver]) {
		list.apply([{id: 'desk-1', entry, revision: 40}], 0);
		list.confirm(40, at(0));
	}

	receiver.apply([{id: 'desk-1', revision: 41}], 0);
	receiver.confirm(41, at(0));
	return {sender, receiver, entry};
}

test('a gateway that saw a removal gets the entry that was written again from one that read the whole list and never saw it', () => {
	const {sender, receiver, entry} = createPairWithRemoval();
	sender.replace([{id: 'desk-1', entry, revision: 42}], 43, 0);
	sender.confirm(43, at(0));
	receiver.apply(sender.changesSince(receiver.revision, 0), 0);
	assert.deepEqual(idsOf(receiver), ['desk-1']);
});

test('a change of a later era counts as newer although its version is lower, and one of an earlier era as older', () => {
	fc.assert(fc.property(fc.nat({max: 100}), fc.nat({max: 1e6}), fc.nat({max: 1e6}), (era, before, after) => {
		const cache = new RowCache<string>();
		cache.apply([{key: 'row', content: 'before', revision: revisionOf(era, before + 1)}]);
		cache.apply([{key: 'row', content: 'after', revision: revisionOf(era + 1, after + 1)}]);
		cache.apply([{key: 'row', content: 'late', revision: revisionOf(era, before + 2)}]);
		assert.equal(cache.get('row'), 'after');
	}));
});

test('a row that a restored store lacks stays until it is written again, also if another gateway named the new era first', () => {
	const cache = new RowCache<string>();
	cache.apply([{key: 'row', content: 'lost', revision: revisionOf(1, 40)}]);
	cache.confirm(revisionOf(2, 30));
	cache.replace([], revisionOf(2, 30));
	assert.equal(cache.get('row'), 'lost');
	cache.apply([{key: 'row', content: 'written again', revision: revisionOf(2, 31)}]);
	cache.replace([], revisionOf(2, 32));
	assert.equal(cache.get('row'), undefined);
});
