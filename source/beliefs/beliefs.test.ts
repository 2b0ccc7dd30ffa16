import assert from 'node:assert/strict';
import {test} from 'node:test';
import {err, ok, type Result} from 'neverthrow';
import {type StoreFailure, type StoredRows} from '../platform/mod.ts';
import {createLogger} from '../telemetry/logger.ts';
import {
	ConfigurationBelief, EndpointList, FollowRenewal, StoreClock, ageOf, divideNewsTime, followTable, type EndpointEntry,
} from './mod.ts';

const at = (steady: number, wall = steady) => ({steady, wall});

const endpoint = (id: string, changes: Partial<EndpointEntry> = {}): EndpointEntry => ({
	id, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'zone-a', slots: 6, leaving: false, startedAt: 1, ...changes,
});

const idsOf = (list: EndpointList, now = 0) => list.endpointsOf('desk', now).map(({id}) => id);

test('a suspension that the steady clock does not count makes what is known infinitely old', () => {
	assert.equal(ageOf(at(1000, 50_000), at(1500, 50_500)), 500);
	assert.equal(ageOf(at(1000, 50_000), at(1500, 54_000)), Number.POSITIVE_INFINITY);
	assert.equal(ageOf(at(1000, 50_000), at(1500, 47_000)), 500);
});

test('versions never fall, and a later confirmation is not replaced by an earlier one', () => {
	const belief = new ConfigurationBelief();
	const configuration = {
		version: 5, routes: [], services: [], limits: {
			headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
		},
	};
	assert.equal(belief.learn(configuration), true);
	assert.equal(belief.learn({...configuration, version: 4}), false);
	belief.confirm(at(2000));
	belief.confirm(at(1000));
	assert.deepEqual(belief.knowledge(at(2500)), {table: belief.table, ageMilliseconds: 500});
	assert.equal(belief.table?.version, 5);
});

test('an endpoint that was seen to leave stays so for that life of it', () => {
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

test('a whole list removes what it lacks', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}, {id: 'b', entry: endpoint('b'), revision: 2}], 0);
	list.replace([{id: 'b', entry: endpoint('b'), revision: 2}], 9, 0);
	assert.deepEqual(idsOf(list), ['b']);
});

test('an entry that lapsed in an outage is used until the time to register again is over', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}, {id: 'b', entry: endpoint('b'), revision: 2}], 0);
	list.outageEnded(10_000);
	list.apply([{id: 'a', entry: undefined, revision: 3}, {id: 'b', entry: undefined, revision: 4}], 10_100);
	assert.deepEqual(idsOf(list, 11_000), ['a', 'b']);
	list.apply([{id: 'b', entry: endpoint('b'), revision: 5}], 11_500);
	assert.deepEqual(idsOf(list, 12_001), ['b']);
});

test('an endpoint that refused as another one is not used in that life again', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}], 0);
	list.refuse('a', 1);
	assert.deepEqual(idsOf(list), []);
	list.apply([{id: 'a', entry: endpoint('a', {startedAt: 2}), revision: 2}], 0);
	assert.deepEqual(idsOf(list), ['a']);
});

test('a row that only repeats itself is not passed on', () => {
	const list = new EndpointList();
	list.apply([{id: 'a', entry: endpoint('a'), revision: 1}], 0);
	list.apply([{id: 'a', entry: endpoint('a'), revision: 2}], 0);
	assert.deepEqual(list.changesSince(1), []);
	assert.deepEqual(list.changesSince(0).map(({id}) => id), ['a']);
});

test('an answer that was waited for proves what the store held when it answered', () => {
	const clock = new StoreClock();
	assert.deepEqual(clock.lookedAt(at(1000), at(1006), 50_003), at(1000));
	assert.deepEqual(clock.lookedAt(at(1006), at(2012), 51_005), at(2002));
	assert.deepEqual(clock.lookedAt(at(2012), at(2020), undefined), at(2012));
});

test('after a suspension the mapping of the store\'s time starts anew', () => {
	const clock = new StoreClock();
	clock.lookedAt(at(1000), at(1006), 50_003);
	assert.deepEqual(clock.lookedAt(at(1010), at(1016), 55_000), at(1010));
	assert.deepEqual(clock.lookedAt(at(1016), at(2020), 56_000), at(2010));
});

test('the times of news stay within their bound', () => {
	const {
		storeMilliseconds, gatherMilliseconds, sourceMilliseconds, sourceIsBehindMilliseconds, sourceIsLateMilliseconds, readerIsLateMilliseconds,
	} = divideNewsTime(2000);
	assert.ok(gatherMilliseconds < storeMilliseconds);
	assert.ok(storeMilliseconds + sourceMilliseconds < sourceIsLateMilliseconds);
	assert.ok(sourceIsLateMilliseconds < readerIsLateMilliseconds);
	assert.ok(readerIsLateMilliseconds < 2000);
	assert.ok(storeMilliseconds < sourceIsBehindMilliseconds);
	// One more question fits between a source that falls behind and the store.
	assert.ok(sourceIsBehindMilliseconds + (1.1 * sourceMilliseconds) < readerIsLateMilliseconds);
});

test('a follower reads the whole table again when its history is lost, and tells when the store answers again', async () => {
	const told: string[] = [];
	const answer = (revision: number): Result<StoredRows, StoreFailure> => ok({rows: [{key: `row-${revision}`, content: undefined, revision}], revision, storeMilliseconds: undefined});
	const script = [answer(4), err<StoredRows, StoreFailure>({kind: 'history-lost', message: 'dropped'}), err<StoredRows, StoreFailure>({kind: 'refused', message: 'busy'}), answer(5)];
	const ending = new AbortController();
	let reads = 0;
	const store = {
		async readTable() {
			reads += 1;
			return reads === 1 ? answer(3) : script.shift()!;
		},
		async changes(): Promise<Result<StoredRows, StoreFailure>> {
			const next = script.shift();
			if (!next) {
				ending.abort();
				return err({kind: 'refused', message: 'the test is over'});
			}

			return next;
		},
	};
	await followTable({
		store,
		table: 'servers',
		listener: {
			replace(rows) {
				told.push(`all ${rows[0]!.key}`);
			},
			apply(rows) {
				told.push(`some ${rows[0]!.key}`);
			},
			confirm: () => undefined,
			recovered() {
				told.push('recovered');
			},
		},
		logger: createLogger('test', {level: 'silent'}),
		roundMilliseconds: 1,
		gatherMilliseconds: 0,
		readClock: () => at(performance.now()),
		storeClock: new StoreClock(),
		renewal: new FollowRenewal(),
		random: () => 0,
	}, ending.signal);
	assert.deepEqual(told, ['all row-3', 'some row-4', 'all row-5', 'recovered']);
});

test('once one follower gets no answer, the others ask anew instead of waiting on connections that may be silent', async () => {
	const renewal = new FollowRenewal();
	const ending = new AbortController();
	const questions: string[] = [];
	const read = async () => ok<StoredRows, StoreFailure>({rows: [], revision: 1, storeMilliseconds: undefined});
	const follow = async (table: string, changes: (signal: AbortSignal) => Promise<Result<StoredRows, StoreFailure>>) => followTable({
		store: {
			readTable: read,
			async changes(_table, _revision, _wait, signal) {
				questions.push(table);
				return changes(signal!);
			},
		},
		table,
		listener: {replace: () => undefined, apply: () => undefined, confirm: () => undefined},
		logger: createLogger('test', {level: 'silent'}),
		roundMilliseconds: 10_000,
		gatherMilliseconds: 0,
		readClock: () => at(performance.now()),
		storeClock: new StoreClock(),
		renewal,
		random: () => 0,
	}, ending.signal);
	const waiting = follow('waiting', async signal => new Promise(resolve => {
		signal.addEventListener('abort', () => {
			resolve(err({kind: 'refused', message: 'ended'}));
		});
	}));
	const silent = follow('silent', async () => {
		if (questions.filter(table => table === 'waiting').length > 1) {
			ending.abort();
		}

		return err({kind: 'unknown', message: 'no answer'});
	});
	await Promise.all([waiting, silent]);
	assert.deepEqual(questions.filter(table => table === 'waiting').length, 2);
});

test('an endpoint that says that it leaves is used no more in that life, here and where others hear of it', () => {
	const [list, other] = [new EndpointList(), new EndpointList()];
	for (const each of [list, other]) {
		each.apply([{id: 'one', entry: endpoint('one'), revision: 1}], 0);
	}

	const life = {id: 'one', startedAt: endpoint('one').startedAt};
	assert.equal(list.markLeaving(life, 100), true);
	assert.equal(list.markLeaving(life, 200), false);
	assert.deepEqual(list.leavingLives(1100), [{...life, ageMilliseconds: 1000}]);
	other.hearLeaving(list.leavingLives(1100), 5000);
	for (const each of [list, other]) {
		assert.deepEqual(each.endpointsOf('desk', 5000), []);
		assert.equal(each.stateOf(life), 'leaving');
		each.apply([{id: 'one', entry: {...endpoint('one'), startedAt: life.startedAt + 1}, revision: 2}], 6000);
		assert.equal(each.endpointsOf('desk', 6000).length, 1);
		assert.equal(each.stateOf(life), 'replaced');
	}

	assert.deepEqual(list.leavingLives(60_000), []);
	assert.equal(list.stateOf({id: 'unknown', startedAt: 1}), 'removed');
});
