import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {
	EndpointHealth, EndpointLoads, EndpointBackoff, chooseCopyHolder, chooseEndpoint, engineCandidates, rankEngines, type AskedEngine, type EngineReport,
} from './mod.ts';

const endpoint = (id: string, availabilityZone = 'zone-a'): EndpointEntry => ({
	id, service: 'desk', address: `127.0.0.1:${id}`, availabilityZone, slots: 6, leaving: false, startedAt: 1,
});

const report = (changes: Partial<EngineReport> = {}): EngineReport => ({
	waiting: 0, running: 0, usedTokens: 0, memoryTokens: 88_000, heldTokens: 0, nextTokens: 0, startedAt: 1, reportsLeaving: false, saysLeaving: false, runs: [], ...changes,
});

const asked = (id: string, changes: Partial<EngineReport> = {}, availabilityZone = 'zone-a'): AskedEngine => ({endpoint: endpoint(id, availabilityZone), report: report(changes)});

function randomOf(generator: RandomGenerator): () => number {
	return () => (generator.unsafeNext() >>> 0) / 0x1_00_00_00_00; // eslint-disable-line no-bitwise -- The generator gives signed integers.
}

const generating = (count: number) => Array.from({length: count}, (_unused, index) => ({attempt: `run-${index}`, tokens: 8500, events: 20}));

test('calls spread over endpoints, and one that fails its calls gets few of them', () => {
	const random = randomOf(xoroshiro128plus(7));
	const endpoints = ['1', '2', '3', '4'].map(id => endpoint(id));
	const loads = new EndpointLoads();
	const health = new EndpointHealth();
	const counts = new Map<string, number>();
	for (let now = 0; now < 40_000; now += 20) {
		const chosen = chooseEndpoint({
			endpoints, tried: new Set(), loads, health, availabilityZone: 'zone-a', now, random,
		})!;
		counts.set(chosen.id, (counts.get(chosen.id) ?? 0) + 1);
		if (chosen.id === '4' && random() < 0.45) {
			health.failed('4', 'failed', now);
		} else {
			health.succeeded(chosen.id, now);
		}
	}

	for (const id of ['1', '2', '3']) {
		assert.ok(counts.get(id)! > 500, `endpoint ${id} got ${counts.get(id)} of 2,000`);
	}

	assert.ok(counts.get('4')! < 200, `the failing endpoint got ${counts.get('4')} of 2,000`);
});

test('an endpoint that cannot be reached is left alone for a while, but used where there is no other', () => {
	const health = new EndpointHealth();
	health.failed('1', 'unreachable', 0);
	const options = {
		tried: new Set<string>(), loads: new EndpointLoads(), health, availabilityZone: 'zone-a', random: () => 0.5,
	};
	assert.equal(chooseEndpoint({...options, endpoints: [endpoint('1'), endpoint('2', 'zone-b')], now: 500})?.id, '2');
	assert.equal(chooseEndpoint({...options, endpoints: [endpoint('1')], now: 500})?.id, '1');
	assert.equal(chooseEndpoint({
		...options, endpoints: [endpoint('1')], tried: new Set(['1']), now: 500,
	}), undefined);
});

test('engines of as many zones as there are get asked, always the same ones for a prompt', () => {
	const endpoints = ['a', 'b', 'c'].flatMap(zone => Array.from({length: 8}, (_unused, index) => endpoint(`${zone}${index}`, zone)));
	const options = {
		endpoints, tried: new Set<string>(), health: new EndpointHealth(), preferenceKey: 'part-1', count: 4, now: 0,
	};
	const candidates = engineCandidates(options);
	assert.equal(new Set(candidates.map(({availabilityZone}) => availabilityZone)).size, 3);
	assert.deepEqual(engineCandidates({...options, endpoints: endpoints.toReversed()}), candidates);
	const others = engineCandidates({...options, tried: new Set([candidates[0]!.id])});
	assert.ok(!others.some(({id}) => id === candidates[0]!.id));
});

test('a prompt goes where the least reading lies before it, whatever is being generated there', () => {
	const reading = asked('reading', {running: 2, usedTokens: 16_400});
	const busy = asked('generating', {running: 3, usedTokens: 25_500, runs: generating(3)});
	const queueing = asked('queueing', {
		running: 1, waiting: 1, usedTokens: 8200, nextTokens: 8200,
	});
	const ranked = rankEngines({asked: [queueing, reading, busy], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['generating', 'reading', 'queueing']);
});

test('a prompt goes to an engine that will soon have read one rather than beside several that generate', () => {
	const reading = asked('reading', {running: 1, usedTokens: 8200});
	const generating3 = asked('generating', {running: 3, usedTokens: 25_500, runs: generating(3)});
	const idle = asked('idle');
	const ranked = rankEngines({asked: [generating3, reading, idle], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['idle', 'reading', 'generating']);
});

test('a prompt goes beside an answer rather than behind a prompt that is being read', () => {
	const reading = asked('reading', {running: 1, usedTokens: 8200});
	const generating1 = asked('generating', {running: 1, usedTokens: 8500, runs: generating(1)});
	const ranked = rankEngines({asked: [reading, generating1], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['generating', 'reading']);
});

test('copies do not count as reading, and engines without memory come last', () => {
	const copies = asked('copies', {
		running: 1, usedTokens: 26_500, heldTokens: 18_000, runs: generating(1),
	});
	const full = asked('full', {running: 9, usedTokens: 84_000, runs: generating(9)});
	const reading = asked('reading', {running: 1, usedTokens: 8200});
	const ranked = rankEngines({asked: [full, reading, copies], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['copies', 'reading', 'full']);
});

test('requests that this router has just sent count although no report shows them', () => {
	const loads = new EndpointLoads();
	const ended = loads.started('1', 8200);
	const ranked = () => rankEngines({asked: [asked('1'), asked('2')], loads, tokens: 9000}).map(engine => engine.endpoint.id);
	assert.deepEqual(ranked(), ['2', '1']);
	ended();
	ended();
	assert.deepEqual(ranked(), ['1', '2']);
});

test('engines that did not answer or are leaving get no prompt', () => {
	const silent: AskedEngine = {endpoint: endpoint('silent'), report: undefined};
	assert.deepEqual(rankEngines({asked: [silent, asked('leaving', {reportsLeaving: true}), asked('gone', {saysLeaving: true})], loads: new EndpointLoads(), tokens: 9000}), []);
});

test('a copy is kept in another zone where there is room', () => {
	const engine = endpoint('1', 'zone-a');
	const near = asked('2', {}, 'zone-a');
	const full = asked('3', {usedTokens: 80_000}, 'zone-b');
	const far = asked('4', {}, 'zone-c');
	assert.equal(chooseCopyHolder([near, full, far], engine, 9000)?.id, '4');
	assert.equal(chooseCopyHolder([near, full], engine, 9000)?.id, '2');
	assert.equal(chooseCopyHolder([full], engine, 9000), undefined);
});

test('an endpoint is sent nothing for as long as it asks, in that life of it', () => {
	const backoff = new EndpointBackoff();
	const [one, other] = [endpoint('one'), endpoint('other')];
	assert.deepEqual(backoff.divide([one, other], 0), {usable: [one, other], firstEnd: undefined});
	backoff.start(one, 3000);
	backoff.start(one, 1000);
	assert.deepEqual(backoff.divide([one, other], 2999), {usable: [other], firstEnd: 3000});
	backoff.start(other, 5000);
	assert.deepEqual(backoff.divide([one, other], 2999), {usable: [], firstEnd: 3000});
	assert.equal(backoff.isBackedOff({...one, startedAt: 2}, 2999), false);
	assert.deepEqual(backoff.divide([one, other], 3000), {usable: [one], firstEnd: 5000});
});
