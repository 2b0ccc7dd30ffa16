import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {Placement, type PlacementOptions, type PlacementRequest} from './placement.ts';
import {prefixKey} from './prefix-key.ts';
import {highestWeightMembers} from './rendezvous.ts';

const listOf = (count: number) => Array.from({length: count}, (_, index) => ({address: `10.0.${Math.floor(index / 250)}.${index % 250}:9000`}));

function createPlacement(count: number, options: Partial<PlacementOptions> = {}): {placement: Placement; endpoints: Array<{address: string}>} {
	const endpoints = listOf(count);
	return {endpoints, placement: new Placement({endpointsOf: () => endpoints, ...options})};
}

const request = (changes: Partial<PlacementRequest> = {}): PlacementRequest => ({
	service: 'briefs', exclude: new Set(), now: 0, random: 0.5, ...changes,
});

function load(versions: string[], tokens = 0) {
	return {
		running: 0, waiting: 0, tokens_in_progress: tokens, capacity_tokens: 1000, measured_at: 0, role: 'mixed', models: versions.map(version => ({model: 'model', version, adapters: []})),
	};
}

test('a prompt keeps its endpoint until the load exceeds the bound, and other prompts keep theirs when an endpoint is excluded', () => {
	const {placement, endpoints} = createPlacement(12);
	const prompts = Array.from({length: 200}, (_, index) => `prompt ${index}`);
	const owners = prompts.map(prompt => placement.choose(request({prompt, random: Math.random()})));
	assert.deepEqual(prompts.map(prompt => placement.choose(request({prompt, random: Math.random()}))), owners);
	const without = new Set([endpoints[0]!.address]);
	const later = prompts.map(prompt => placement.choose(request({prompt, exclude: without})));
	for (const [index, owner] of owners.entries()) {
		assert.ok(later[index] === owner || owner === endpoints[0]!.address);
	}

	placement.recordStart(owners[0]!, 10_000);
	assert.notEqual(placement.choose(request({prompt: prompts[0]!, tokens: 100})), owners[0]);
});

test('many requests with the same prompt never load an endpoint far above the mean', () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 2, max: 20}), fastCheck.integer({min: 1, max: 300}), (count, requests) => {
		const {placement, endpoints} = createPlacement(count);
		for (let index = 0; index < requests; index += 1) {
			placement.recordStart(placement.choose(request({prompt: 'same', tokens: 100}))!, 100);
		}

		const mean = requests * 100 / count;
		assert.ok(endpoints.every(({address}) => placement.outstanding(address) <= (1.25 * mean) + 200));
	}), {seed: 3});
});

test('a reported load diverts work and decreases with its age', () => {
	const {placement, endpoints} = createPlacement(2);
	const [first, second] = endpoints.map(({address}) => address);
	placement.recordLoad(first!, load(['v1'], 5000), 0);
	placement.recordStart(second!, 100);
	const at = (now: number) => new Set(Array.from({length: 50}, (_, index) => placement.choose(request({now, random: index / 50}))));
	assert.ok([...at(0)].filter(address => address === first).length <= 1);
	const draws = Array.from({length: 100}, (_, index) => placement.choose(request({now: 0, random: index / 100})));
	assert.ok(draws.filter(address => address === second).length > 70);
	const laterDraws = Array.from({length: 100}, (_, index) => placement.choose(request({now: 11_000, random: index / 100})));
	assert.ok(laterDraws.filter(address => address === first).length > 70);
});

test('an endpoint that lacks the version is skipped until its report expires', () => {
	const {placement, endpoints} = createPlacement(2);
	placement.recordLoad(endpoints[0]!.address, load(['v1']), 0);
	placement.recordLoad(endpoints[1]!.address, load(['v2']), 0);
	for (let random = 0; random < 1; random += 0.05) {
		assert.equal(placement.choose(request({
			version: 'v2', now: 1, random, prompt: String(random),
		})), endpoints[1]!.address);
	}

	placement.recordLoad(endpoints[1]!.address, load(['v1']), 0);
	assert.equal(placement.choose(request({version: 'v2', now: 1})), undefined);
	assert.notEqual(placement.choose(request({version: 'v2', now: 60_000})), undefined);
});

test('a cache event directs its prompt to the endpoint that has cached it until the event expires', () => {
	const {placement, endpoints} = createPlacement(8);
	const owner = placement.choose(request({prompt: 'lore'}));
	const holder = endpoints.find(({address}) => address !== owner)!.address;
	placement.recordCacheEvents(holder, {events: [{sequence: 1, kind: 'stored', prefix: 'ab2c1e6ae81c0d8f'}]}, 0);
	assert.equal(placement.choose(request({prompt: 'lore'})), owner);
	placement.recordCacheEvents(holder, {events: [{sequence: 9, kind: 'stored', prefix: prefixKey('lore')}]}, 0);
	assert.equal(placement.choose(request({prompt: 'lore', now: 1000})), holder);
	assert.equal(placement.choose(request({prompt: 'lore', now: 600_000})), owner);
});

test('after consecutive failures an endpoint gets only single probes after a backoff', () => {
	const {placement, endpoints} = createPlacement(2);
	const failing = endpoints[0]!.address;
	for (let failure = 0; failure < 3; failure += 1) {
		placement.recordFailure(failing, 0);
	}

	const chosenAt = (now: number) => Array.from({length: 60}, (_, index) => placement.choose(request({now, prompt: `p${index}`}))).filter(address => address === failing).length;
	assert.equal(chosenAt(10), 0);
	assert.equal(chosenAt(1500), 1);
	placement.recordFailure(failing, 1600);
	assert.equal(chosenAt(3000), 0);
	placement.recordSuccess(failing, 3000);
	assert.ok(chosenAt(3001) > 10);
});

test('when all circuits are open, endpoints are still tried at a limited rate', () => {
	const {placement, endpoints} = createPlacement(3);
	for (let failure = 0; failure < 60; failure += 1) {
		placement.recordFailure(endpoints[failure % 3]!.address, failure);
	}

	assert.equal(placement.choose(request({now: 100})), undefined);
	assert.notEqual(placement.choose(request({now: 700})), undefined);
});

test('routers use stable subsets that together cover all endpoints', () => {
	const endpoints = listOf(360);
	const subsets = Array.from({length: 390}, (_, index) => highestWeightMembers(endpoints, `router-${index}`, 48));
	const counts = new Map(endpoints.map(({address}) => [address, 0]));
	for (const {address} of subsets.flat()) {
		counts.set(address, counts.get(address)! + 1);
	}

	assert.ok([...counts.values()].every(count => count > 0));
	const after = new Set(highestWeightMembers(endpoints.slice(1), 'router-0', 48).map(({address}) => address));
	assert.ok(subsets[0]!.filter(({address}) => !after.has(address)).length <= 1);
});

test('no endpoint is chosen for admitted work while all are at twice their limits', () => {
	const {placement, endpoints} = createPlacement(2, {initialLimitOf: () => 1000});
	for (const {address} of endpoints) {
		placement.recordStart(address, 1950);
	}

	assert.equal(placement.choose(request({tokens: 100})), undefined);
	placement.recordEnd(endpoints[0]!.address, 500);
	assert.equal(placement.choose(request({tokens: 100})), endpoints[0]!.address);
});

test('a limit decreases while the time to first token is above the target and increases again below it', () => {
	const {placement, endpoints} = createPlacement(1, {initialLimitOf: () => 1000});
	const {address} = endpoints[0]!;
	placement.choose(request());
	placement.recordStart(address, 900);
	for (let now = 0; now < 5000; now += 1000) {
		placement.recordFirstToken(address, 3000, now);
	}

	const low = placement.capacityOf('briefs', 0);
	assert.ok(low < 600);
	for (let now = 5000; now < 55_000; now += 1000) {
		placement.recordFirstToken(address, 100, now);
	}

	assert.ok(placement.capacityOf('briefs', 0) > low * 1.5);
});

test('a failing endpoint counts for one probe only, which is due at once when it answers a load query', () => {
	const {placement, endpoints} = createPlacement(1, {initialLimitOf: () => 1000});
	const {address} = endpoints[0]!;
	for (let failure = 0; failure < 10; failure += 1) {
		placement.recordFailure(address, 0);
	}

	assert.equal(placement.capacityOf('briefs', 100), 0);
	assert.equal(placement.capacityOf('briefs', 20_000), 1);
	placement.recordLoad(address, load(['v1']), 100);
	assert.equal(placement.capacityOf('briefs', 100), 1);
	placement.recordFailure(address, 200);
	placement.recordLoad(address, load(['v1']), 300);
	assert.equal(placement.capacityOf('briefs', 300), 0);
	placement.recordSuccess(address, 400);
	assert.equal(placement.capacityOf('briefs', 400), 1000);
});
