import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	MemberTable, chooseSources, exchangePeriod, followsStore, listGateways, packConfiguration, readerOf, unpackConfiguration, type Member,
} from './mod.ts';

const member = (name: string, changes: Partial<Member> = {}): Member => ({
	name, availabilityZone: 'zone-a', region: 'home', callers: `${name}:1`, peers: `${name}:2`, incarnation: 1, heartbeat: 1, ready: true, ...changes,
});

const namesOf = (members: readonly Member[]) => members.map(({name}) => name);

test('a gateway is alive while its heartbeat increases, and a later incarnation replaces an earlier one', () => {
	const table = new MemberTable({self: member('self'), heartbeatTimeoutMilliseconds: () => 5000});
	table.merge([member('one', {heartbeat: 9}), member('two')], 0);
	table.merge([member('one', {heartbeat: 9})], 4000);
	assert.deepEqual(namesOf(table.live(4999)), ['self', 'one', 'two']);
	assert.deepEqual(namesOf(table.live(5000)), ['self']);
	table.merge([member('one', {incarnation: 2, heartbeat: 1}), member('two', {heartbeat: 0})], 6000);
	assert.deepEqual(namesOf(table.live(6000)), ['self', 'one']);
});

test('the exchange period grows with the fleet, within bounds', () => {
	assert.equal(exchangePeriod(16), 1000);
	assert.equal(exchangePeriod(128), 2000);
	assert.equal(exchangePeriod(390), 4000);
});

test('a gateway that did not respond counts as dead until its heartbeat increases', () => {
	const table = new MemberTable({self: member('self')});
	table.merge([member('one')], 0);
	table.markUnreachable('one');
	table.merge([member('one')], 100);
	assert.deepEqual(namesOf(table.live(100)), ['self']);
	table.merge([member('one', {heartbeat: 2})], 200);
	assert.deepEqual(namesOf(table.live(200)), ['self', 'one']);
});

test('a registered gateway is known but does not count as alive', () => {
	const table = new MemberTable({self: member('self')});
	table.register([member('self'), member('one')], 0);
	assert.deepEqual(namesOf(table.live(0)), ['self']);
	assert.deepEqual(namesOf(table.others()), ['one']);
	table.merge([member('one', {heartbeat: 1})], 10);
	assert.deepEqual(namesOf(table.live(10)), ['self', 'one']);
});

test('gateways exchange heartbeats of members that both know, and full records only of those that one of them lacks', () => {
	const one = new MemberTable({self: member('one')});
	const other = new MemberTable({self: member('other')});
	one.merge([member('other'), member('both'), member('restarted')], 0);
	other.merge([member('one'), member('both', {heartbeat: 5}), member('restarted', {incarnation: 2}), member('new')], 0);
	assert.deepEqual(namesOf(other.unknownTo(one.heartbeats(0), 0)), ['restarted', 'new']);
	one.mergeHeartbeats(other.heartbeats(100), 100);
	assert.equal(one.others().find(({name}) => name === 'both')?.heartbeat, 5);
	assert.equal(one.others().find(({name}) => name === 'restarted')?.incarnation, 1);
	one.merge(other.unknownTo(one.heartbeats(100), 100), 100);
	assert.deepEqual(namesOf(other.unknownTo(one.heartbeats(100), 100)), []);
	assert.deepEqual(new Set(namesOf(one.live(100))), new Set(['one', 'other', 'both', 'restarted', 'new']));
});

const zones = ['zone-a', 'zone-b', 'zone-c'];
const fleet = zones.flatMap(availabilityZone => Array.from({length: 4}, (_unused, index) => member(`${availabilityZone}-${index}`, {availabilityZone})));

test('one gateway of each zone follows the store, and another one when that one is gone', () => {
	const following = fleet.filter(self => followsStore({
		self, members: fleet, membershipSettled: true, ageMilliseconds: 100, storeFallbackMilliseconds: 1600,
	}));
	assert.equal(following.length, 3);
	const reader = readerOf(fleet, 'zone-a')!;
	const remaining = fleet.filter(({name}) => name !== reader.name);
	assert.equal(readerOf(remaining, 'zone-a')?.availabilityZone, 'zone-a');
	assert.equal(readerOf(fleet.toReversed(), 'zone-a'), reader);
});

test('a gateway whose cached state is too old follows the store itself', () => {
	const self = fleet.find(({name}) => name !== readerOf(fleet, 'zone-a')!.name)!;
	assert.equal(followsStore({
		self, members: fleet, membershipSettled: true, ageMilliseconds: 1700, storeFallbackMilliseconds: 1600,
	}), true);
});

test('gateways that have just started and know few others do not all follow the store', () => {
	const following = fleet.filter(self => followsStore({
		self, members: [self], membershipSettled: false, ageMilliseconds: 400, storeFallbackMilliseconds: 1600,
	}));
	assert.equal(following.length, 0);
});

test('a gateway queries its zone\'s reader first, then those of other zones, never itself', () => {
	const readers = zones.map(zone => readerOf(fleet, zone)!);
	const self = fleet.find(member => member.availabilityZone === 'zone-a' && !readers.includes(member))!;
	const sources = chooseSources({self, members: fleet, random: () => 0.5});
	assert.equal(sources[0], readers[0]);
	assert.deepEqual(new Set(sources), new Set(readers));
	const ofReader = chooseSources({self: readers[0]!, members: fleet, random: () => 0.5});
	assert.deepEqual(new Set(ofReader.slice(0, 2)), new Set(readers.slice(1)));
	assert.ok(!ofReader.includes(readers[0]!));
});

test('a gateway that knows no other reader queries other ready gateways', () => {
	const self = fleet[0]!;
	assert.deepEqual(chooseSources({self, members: [self], random: () => 0.5}), []);
	const sources = chooseSources({self, members: [self, fleet[1]!, member('starting', {ready: false})], random: () => 0.5});
	assert.deepEqual(sources, [fleet[1]]);
});

test('a configuration of thousands of routes is packed to less than a tenth and unpacked unchanged; any other input is rejected', () => {
	const route = (index: number) => ({
		name: `route-${index}`,
		host: 'desk.example',
		pathPrefix: `/path-${index}/`,
		kind: 'idempotent' as const,
		timeoutMilliseconds: 800,
		targetMilliseconds: 120,
		priority: 2,
		services: [{service: 'desk', weight: 1}],
		maximumAttempts: 2,
		anonymous: false,
		resumable: false,
		eventPauseMilliseconds: 0,
	});
	const configuration = {
		version: 7,
		routes: Array.from({length: 2000}, (_unused, index) => route(index)),
		services: [],
		workspaces: [],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
		},
	};
	const packed = packConfiguration(configuration);
	assert.equal(packConfiguration(configuration), packed);
	assert.ok(packed.length * 10 < JSON.stringify(configuration).length);
	assert.deepEqual(unpackConfiguration(packed)._unsafeUnwrap(), configuration);
	for (const text of ['', 'not packed', packed.slice(0, 100), packConfiguration({...configuration, version: Number.NaN})]) {
		assert.ok(unpackConfiguration(text).isErr(), text.slice(0, 20));
	}
});

test('callers get the addresses of ready gateways, some of their zone first, and not only those', () => {
	const members = [...fleet, member('stopping', {ready: false})];
	const entries = listGateways({
		members, availabilityZone: 'zone-b', region: 'home', count: 6, random: Math.random,
	});
	assert.equal(entries.length, 6);
	assert.ok(entries.slice(0, 3).every(address => address.startsWith('zone-b')));
	assert.ok(!entries.includes('stopping:1'));
	const none = listGateways({
		members: [member('one', {ready: false})], availabilityZone: 'zone-b', region: 'home', count: 6, random: Math.random,
	});
	assert.deepEqual(none, ['one:1']);
});
