import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ClockReading} from '../clocks/mod.ts';
import {createLogger} from '../telemetry/logger.ts';
import {takeLoopbackAddress} from '../testing/loopback-address.ts';
import {
	MemberTable, querySeeds, packConfiguration, startExchangeServer, unpackConfiguration, type ExchangeMessage, type Member, type SharedState, type StoreUpdate,
} from './mod.ts';

const address = takeLoopbackAddress();

const member = (name: string): Member => ({
	name, availabilityZone: 'zone-a', region: 'home', callers: `${name}:1`, peers: `${name}:2`, incarnation: 1, heartbeat: 1, ready: true,
});

const readClock = (): ClockReading => ({steady: performance.now(), wall: Date.now()});

const logger = createLogger('test', {level: 'silent', fields: {}, write: () => undefined});

const emptyUpdate = {
	era: 0, endpoints: [], endpointRevision: 0, suspects: [], suspectRevision: 0, limits: [], limitRevision: 0,
};

function sharedStateOf(applied: string[]): SharedState {
	return {
		knownRevisions: () => ({
			era: 0, configurationVersion: 0, endpointRevision: 0, suspectRevision: 0, limitRevision: 0,
		}),
		age: () => Number.POSITIVE_INFINITY,
		updateFor: () => emptyUpdate,
		apply({configuration}) {
			applied.push(String(unpackConfiguration(configuration ?? '').unwrapOr(undefined)?.version));
		},
	};
}

const configuration = {
	version: 7, routes: [], services: [], workspaces: [], limits: {
		headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
	},
};

/** Starts a seed whose update at a time is the given one. */
async function startSeed(port: number, update: () => StoreUpdate) {
	let requests = 0;
	const stop = await startExchangeServer({
		listen: `${address}:${port}`,
		answerPermit: () => ({
			holds: false, granted: false, requestsPerSecond: 0, askAgainMilliseconds: 0, returnInMilliseconds: 0,
		}),
		handle(): ExchangeMessage {
			requests += 1;
			return {members: [member('seed')], news: update()};
		},
	});
	return {stop, requests: () => requests};
}

const fullUpdate = {
	...emptyUpdate, endpointRevision: 1, configuration: packConfiguration(configuration), configurationAgeMilliseconds: 1, endpointAgeMilliseconds: 1,
};

test('a gateway waits for a seed that responds but has no state yet, and queries it at a low rate', async context => {
	const availableFrom = performance.now() + 2600;
	const seed = await startSeed(7501, () => performance.now() > availableFrom ? fullUpdate : emptyUpdate);
	context.after(seed.stop);
	const applied: string[] = [];
	const members = new MemberTable({self: member('self')});
	const updated = await querySeeds({
		seeds: [`${address}:7501`], members, sharedState: sharedStateOf(applied), logger, readClock, random: () => 0, onUpdate: () => undefined,
	}, new AbortController().signal);
	assert.equal(updated, true);
	assert.deepEqual(applied, ['7']);
	assert.ok(seed.requests() <= 10, `${seed.requests()} requests`);
});

test('a gateway that is itself a seed gets the state of another one, also where the first one has none', async context => {
	const empty = await startSeed(7503, () => emptyUpdate);
	context.after(empty.stop);
	const full = await startSeed(7504, () => fullUpdate);
	context.after(full.stop);
	const applied: string[] = [];
	const self = {...member('self'), peers: `${address}:7505`};
	const updated = await querySeeds({
		seeds: [`${address}:7505`, `${address}:7503`, `${address}:7504`], members: new MemberTable({self}), sharedState: sharedStateOf(applied), logger, readClock, random: () => 0, onUpdate: () => undefined,
	}, new AbortController().signal);
	assert.equal(updated, true);
	assert.deepEqual(applied, ['7']);
});

test('seeds that start together do not wait for each other', async context => {
	const empty = await startSeed(7506, () => emptyUpdate);
	context.after(empty.stop);
	const self = {...member('self'), peers: `${address}:7508`};
	const startedAt = performance.now();
	const updated = await querySeeds({
		seeds: [`${address}:7506`, `${address}:7507`, `${address}:7508`], members: new MemberTable({self}), sharedState: sharedStateOf([]), logger, readClock, random: () => 0, onUpdate: () => undefined,
	}, new AbortController().signal);
	assert.equal(updated, false);
	assert.equal(empty.requests(), 1);
	assert.ok(performance.now() - startedAt < 1000);
});

test('a gateway whose seeds do not respond gives up on them within 5 s', async () => {
	const startedAt = performance.now();
	const updated = await querySeeds({
		seeds: [`${address}:7502`], members: new MemberTable({self: member('self')}), sharedState: sharedStateOf([]), logger, readClock, random: () => 0, onUpdate: () => undefined,
	}, new AbortController().signal);
	assert.equal(updated, false);
	assert.ok(performance.now() - startedAt < 5000);
});
