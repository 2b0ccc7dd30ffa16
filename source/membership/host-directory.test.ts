import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Host} from '../table-service/mod.ts';
import {chooseEntries} from './choose-entries.ts';
import {choosePeers} from './choose-peers.ts';
import {HintCache} from './hint-cache.ts';
import {HostDirectory} from './host-directory.ts';

function hostList(count: number, state: Host['state'] = 'live'): Host[] {
	return Array.from({length: count}, (_, index) => ({
		name: `entry-${index}`,
		availabilityZone: `zone-${index % 12}`,
		region: `region-${index % 4}`,
		state,
		entry: {callers: `10.0.0.${index}:80`, peers: `10.0.0.${index}:81`, operators: `10.0.0.${index}:82`},
		endpoints: [],
	}));
}

function namesOf(hosts: readonly Host[]): string[] {
	return hosts.map(({name}) => name).toSorted();
}

test('a leaving hint takes precedence over a lagging list until the list has shown departure and return', () => {
	const directory = new HostDirectory();
	directory.update(hostList(2), 0);
	directory.markLeaving('entry-0', 1000);
	directory.update(hostList(2), 2000);
	assert.deepEqual(namesOf(directory.entryHosts(2000)), ['entry-1']);
	directory.update(hostList(2, 'leaving'), 3000);
	directory.update(hostList(2), 4000);
	assert.deepEqual(namesOf(directory.entryHosts(4000)), ['entry-0', 'entry-1']);
});

test('a host that announces that it is live again is used while a lagging list still shows it as leaving', () => {
	const directory = new HostDirectory();
	directory.update(hostList(1, 'leaving'), 0);
	assert.deepEqual(namesOf(directory.entryHosts(1000)), []);
	directory.markLive('entry-0', 1000);
	directory.update(hostList(1, 'leaving'), 2000);
	assert.deepEqual(namesOf(directory.entryHosts(2000)), ['entry-0']);
});

test('hosts missing from a suddenly shrunk list are removed after a grace period, a few missing hosts at once', () => {
	const directory = new HostDirectory({missingGraceMilliseconds: 60_000});
	directory.update(hostList(10), 0);
	directory.update(hostList(9), 1000);
	assert.equal(directory.entryHosts(1000).length, 9);
	directory.update(hostList(2), 2000);
	directory.update(hostList(2), 61_000);
	assert.equal(directory.entryHosts(61_000).length, 9);
	directory.update(hostList(2), 62_001);
	assert.equal(directory.entryHosts(62_001).length, 2);
});

test('a host missing from the list is kept for a grace period while its peer connection is open', () => {
	const directory = new HostDirectory({missingGraceMilliseconds: 60_000});
	directory.update(hostList(10), 0);
	directory.markConnected('entry-9', true);
	directory.update(hostList(9), 1000);
	assert.equal(directory.entryHosts(1000).length, 10);
	directory.markConnected('entry-9', false);
	directory.update(hostList(9), 2000);
	assert.equal(directory.entryHosts(2000).length, 9);
});

test('chosen entries are bounded, start in the own zone and spread callers over it', () => {
	let state = 1;
	const random = () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};

	const hosts = hostList(390);
	const firsts = new Map<string, number>();
	for (let caller = 0; caller < 330; caller += 1) {
		const entries = chooseEntries({
			hosts, availabilityZone: 'zone-3', region: 'region-3', random,
		});
		assert.equal(entries.length, 8);
		assert.deepEqual(entries.map(entry => entry.availabilityZone === 'zone-3'), [true, true, true, true, true, true, false, false]);
		assert.ok(entries.every(entry => entry.region === 'region-3'));
		firsts.set(entries[0]!.name, (firsts.get(entries[0]!.name) ?? 0) + 1);
	}

	assert.ok(firsts.size > 25);
	assert.ok(Math.max(...firsts.values()) < 33);
});

test('390 routers choose a bounded and connected graph whose connections are stable', () => {
	const hosts = hostList(390);
	const linksOf = (list: Host[]) => new Map(list.map(host => [host.name, namesOf(choosePeers({
		hostName: host.name, availabilityZone: host.availabilityZone, hosts: list, sameZone: 4, otherZones: 4,
	}))]));
	const links = linksOf(hosts);
	const reached = new Set(['entry-0']);
	for (const name of reached) {
		for (const next of links.get(name)!) {
			reached.add(next);
		}
	}

	assert.equal(reached.size, 390);
	assert.ok([...links.values()].every(names => names.length <= 9));
	const after = linksOf(hosts.slice(0, 389));
	const kept = [...after].flatMap(([name, names]) => names.filter(peer => links.get(name)!.includes(peer)));
	const total = [...after.values()].flat().length;
	assert.ok(kept.length > total * 0.98);
});

test('a hint reaches all of 390 routers in few hops, and each router forwards it at most once per connection', () => {
	const hosts = hostList(390);
	const neighbours = new Map(hosts.map(host => [host.name, new Set<string>()]));
	for (const host of hosts) {
		const chosen = choosePeers({
			hostName: host.name, availabilityZone: host.availabilityZone, hosts, sameZone: 4, otherZones: 4,
		});
		for (const {name} of chosen) {
			neighbours.get(host.name)!.add(name);
			neighbours.get(name)!.add(host.name);
		}
	}

	const caches = new Map(hosts.map(({name}) => [name, new HintCache()]));
	caches.get('entry-0')!.publish({kind: 'host', key: 'entry-0', value: 'leaving'}, 0);
	let reached = ['entry-0'];
	let hops = 1;
	let sent = 0;
	const known = new Set(reached);
	for (let round = 1; reached.length > 0 && round <= 10; round += 1) {
		const next: string[] = [];
		for (const from of reached) {
			for (const to of neighbours.get(from)!) {
				const hints = caches.get(from)!.since(0, to, 0);
				sent += hints.length;
				if (hints.some(hint => caches.get(to)!.receive(hint, from, 0))) {
					next.push(to);
					known.add(to);
				}
			}
		}

		reached = next;
		hops = known.size < hosts.length ? round + 1 : hops;
	}

	const links = [...neighbours.values()].reduce((sum, {size}) => sum + size, 0);
	assert.equal(reached.length, 0);
	assert.equal(known.size, 390);
	assert.ok(hops <= 5, `${hops} hops`);
	assert.ok(sent <= links, `${sent} messages over ${links} directed links`);
});

test('a hint crosses each connection once, repeats are not forwarded, and it expires after its lifetime', () => {
	const caches = [new HintCache({lifetimeMilliseconds: 1000}), new HintCache({lifetimeMilliseconds: 1000}), new HintCache({lifetimeMilliseconds: 1000})];
	const [first, second, third] = caches as [HintCache, HintCache, HintCache];
	first.publish({kind: 'suspect', key: 'digest', value: 'endpoint-1'}, 0);
	first.publish({kind: 'suspect', key: 'digest', value: 'endpoint-1'}, 10);
	const [hint] = first.since(0, 'second', 100);
	assert.equal(first.since(0, 'second', 100).length, 1);
	assert.equal(second.receive(hint!, 'first', 100), true);
	assert.equal(second.receive(hint!, 'third', 100), false);
	assert.equal(second.since(0, 'first', 100).length, 0);
	const [forwarded] = second.since(0, 'third', 900);
	assert.equal(forwarded?.ageMilliseconds, 900);
	assert.equal(third.receive(forwarded, 'second', 900), true);
	assert.equal(third.value('suspect', 'digest', 1001), undefined);
	assert.equal(third.since(0, 'fourth', 1001).length, 0);
	const published = Array.from({length: 20}, (_, index) => first.publish({kind: 'suspect', key: String(index), value: ''}, 2000));
	assert.equal(published.filter(Boolean).length, 10);
});
