import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {type EndpointEntry} from '../registry/mod.ts';
import {
	EndpointHealth, EndpointLoads, EndpointBackoff, cachedPromptTokens, chooseCopyHolder, chooseEndpoint, engineCandidates, isIdle, rankEngines, type QueriedEngine, type EngineReport,
} from './mod.ts';

const endpoint = (id: string, availabilityZone = 'zone-a'): EndpointEntry => ({
	id, service: 'desk', address: `127.0.0.1:${id}`, availabilityZone, slots: 6, leaving: false, startedAt: 1,
});

const report = (changes: Partial<EngineReport> = {}): EngineReport => ({
	waiting: 0, running: 0, usedTokens: 0, memoryTokens: 88_000, heldTokens: 0, nextTokens: 0, startedAt: 1, reportsLeaving: false, saysLeaving: false, limit: {kind: 'none'}, runs: [], ...changes,
});

const queried = (id: string, changes: Partial<EngineReport> = {}, availabilityZone = 'zone-a'): QueriedEngine => ({endpoint: endpoint(id, availabilityZone), report: report(changes)});

function randomOf(generator: RandomGenerator): () => number {
	return () => (generator.unsafeNext() >>> 0) / 0x1_00_00_00_00; // eslint-disable-line no-bitwise -- The generator gives signed integers.
}

const decodingRuns = (count: number) => Array.from({length: count}, (_unused, index) => ({attempt: `run-${index}`, tokens: 8500, events: 20}));

test('calls are spread over endpoints, and an endpoint that often fails gets few of them', () => {
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
			health.recordFailure('4', 'failed', now);
		} else {
			health.recordSuccess(chosen.id, now);
		}
	}

	for (const id of ['1', '2', '3']) {
		assert.ok(counts.get(id)! > 500, `endpoint ${id} got ${counts.get(id)} of 2,000`);
	}

	assert.ok(counts.get('4')! < 200, `the failing endpoint got ${counts.get('4')} of 2,000`);
});

test('an endpoint that was overtaken by hedges fails only if a later request is overtaken as well, without a success in between', () => {
	const health = new EndpointHealth();
	health.recordOvertaken('1', {sentAt: 0, now: 60});
	health.recordOvertaken('1', {sentAt: 50, now: 110});
	assert.equal(health.failureRate('1', 110), 0);
	health.recordSuccess('1', 120);
	health.recordOvertaken('1', {sentAt: 130, now: 190});
	assert.equal(health.failureRate('1', 190), 0);
	health.recordOvertaken('1', {sentAt: 200, now: 260});
	assert.ok(health.failureRate('1', 260) > 0);
	assert.equal(health.shouldAvoid('1', 300), true);
});

test('an unreachable endpoint is avoided for a while, but used if there is no other', () => {
	const health = new EndpointHealth();
	health.recordFailure('1', 'unreachable', 0);
	const options = {
		tried: new Set<string>(), loads: new EndpointLoads(), health, availabilityZone: 'zone-a', random: () => 0.5,
	};
	assert.equal(chooseEndpoint({...options, endpoints: [endpoint('1'), endpoint('2', 'zone-b')], now: 500})?.id, '2');
	assert.equal(chooseEndpoint({...options, endpoints: [endpoint('1')], now: 500})?.id, '1');
	assert.equal(chooseEndpoint({
		...options, endpoints: [endpoint('1')], tried: new Set(['1']), now: 500,
	}), undefined);
});

test('engine candidates come from all zones, and are always the same ones for a prompt', () => {
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

test('engines are ranked by pending prefill, even if others decode fewer requests', () => {
	const prefilling = queried('prefilling', {running: 2, usedTokens: 16_400});
	const decoding = queried('decoding', {running: 3, usedTokens: 25_500, runs: decodingRuns(3)});
	const queueing = queried('queueing', {
		running: 1, waiting: 1, usedTokens: 8200, nextTokens: 8200,
	});
	const ranked = rankEngines({queried: [queueing, prefilling, decoding], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['decoding', 'prefilling', 'queueing']);
});

test('an engine with one prompt in prefill ranks before an engine that decodes several requests', () => {
	const prefilling = queried('prefilling', {running: 1, usedTokens: 8200});
	const decoding3 = queried('decoding', {running: 3, usedTokens: 25_500, runs: decodingRuns(3)});
	const idle = queried('idle');
	const ranked = rankEngines({queried: [decoding3, prefilling, idle], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['idle', 'prefilling', 'decoding']);
});

test('an engine that decodes one request ranks before an engine with a prompt in prefill', () => {
	const prefilling = queried('prefilling', {running: 1, usedTokens: 8200});
	const decoding1 = queried('decoding', {running: 1, usedTokens: 8500, runs: decodingRuns(1)});
	const ranked = rankEngines({queried: [prefilling, decoding1], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['decoding', 'prefilling']);
});

// Load: a fleet in which some engines are idle, some decode and some read prompts.
test('an idle engine ranks first whatever further engines are asked, and none is idle that runs, reads or lacks memory', () => {
	const busy = [
		queried('decoding', {running: 1, usedTokens: 8500, runs: decodingRuns(1)}),
		queried('prefilling', {running: 1, usedTokens: 8200}),
		queried('full', {usedTokens: 87_000, heldTokens: 87_000}),
	];
	const options = {loads: new EndpointLoads(), tokens: 9000};
	assert.deepEqual(busy.map(engine => isIdle(engine, options)), [false, false, false]);
	assert.equal(isIdle(queried('leaving', {saysLeaving: true}), options), false);
	const first = [busy[0]!, queried('idle'), busy[1]!];
	assert.equal(isIdle(first[1]!, options), true);
	const further = [queried('idle too'), busy[2]!];
	assert.equal(rankEngines({queried: first, ...options})[0]!.endpoint.id, 'idle');
	assert.equal(rankEngines({queried: [...first, ...further], ...options})[0]!.endpoint.id, 'idle');
});

test('copies do not count as prefill, and engines without enough memory rank last', () => {
	const copies = queried('copies', {
		running: 1, usedTokens: 26_500, heldTokens: 18_000, runs: decodingRuns(1),
	});
	const full = queried('full', {running: 9, usedTokens: 84_000, runs: decodingRuns(9)});
	const prefilling = queried('prefilling', {running: 1, usedTokens: 8200});
	const ranked = rankEngines({queried: [full, prefilling, copies], loads: new EndpointLoads(), tokens: 9000});
	assert.deepEqual(ranked.map(engine => engine.endpoint.id), ['copies', 'prefilling', 'full']);
});

test('requests that this gateway has just sent count although no report shows them yet', () => {
	const loads = new EndpointLoads();
	const release = loads.trackRequest('1', 8200);
	const ranked = () => rankEngines({queried: [queried('1'), queried('2')], loads, tokens: 9000}).map(engine => engine.endpoint.id);
	assert.deepEqual(ranked(), ['2', '1']);
	release();
	release();
	assert.deepEqual(ranked(), ['1', '2']);
});

test('a generation that its caller resumes goes to the engine that keeps its prompt, unless that one has more work than the prompt takes', () => {
	const cachedTokens = new Map([['keeps', 8200]]);
	const rank = (keeping: Partial<EngineReport>) => rankEngines({
		queried: [queried('idle'), queried('keeps', keeping)], loads: new EndpointLoads(), tokens: 9000, cachedTokens,
	}).map(engine => engine.endpoint.id);
	assert.deepEqual(rank({running: 2, usedTokens: 17_000, runs: decodingRuns(2)}), ['keeps', 'idle']);
	assert.deepEqual(rank({running: 3, usedTokens: 25_500, runs: decodingRuns(3)}), ['idle', 'keeps']);
});

test('a part of a prompt is worth something in a cache only with all parts before it, and for the same model', () => {
	const part = (id: string, tokens: number, model = 'model-1') => ({id, tokens, model});
	const tokens = (...cached: Array<ReturnType<typeof part>>) => cachedPromptTokens({promptParts: ['shared', 'own'], model: 'model-1', cached});
	assert.equal(tokens(part('own', 8000), part('shared', 200), part('other', 5)), 8200);
	assert.equal(tokens(part('shared', 200)), 200);
	assert.equal(tokens(part('own', 8000)), 0);
	assert.equal(tokens(part('shared', 200), part('own', 8000, 'model-2')), 200);
});

test('engines that did not respond or are leaving are not ranked', () => {
	const silent: QueriedEngine = {endpoint: endpoint('silent'), report: undefined};
	assert.deepEqual(rankEngines({queried: [silent, queried('leaving', {reportsLeaving: true}), queried('gone', {saysLeaving: true})], loads: new EndpointLoads(), tokens: 9000}), []);
});

test('a copy is placed in another zone if an engine there has enough memory', () => {
	const engine = endpoint('1', 'zone-a');
	const near = queried('2', {}, 'zone-a');
	const full = queried('3', {usedTokens: 80_000}, 'zone-b');
	const far = queried('4', {}, 'zone-c');
	assert.equal(chooseCopyHolder([near, full, far], engine, 9000)?.id, '4');
	assert.equal(chooseCopyHolder([near, full], engine, 9000)?.id, '2');
	assert.equal(chooseCopyHolder([full], engine, 9000), undefined);
});

test('an endpoint is not usable until its backoff ends, unless it restarts', () => {
	const backoff = new EndpointBackoff();
	const [one, other] = [endpoint('one'), endpoint('other')];
	assert.deepEqual(backoff.partition([one, other], 0), {usable: [one, other], earliestEnd: undefined});
	backoff.start(one, 3000);
	backoff.start(one, 1000);
	assert.deepEqual(backoff.partition([one, other], 2999), {usable: [other], earliestEnd: 3000});
	backoff.start(other, 5000);
	assert.deepEqual(backoff.partition([one, other], 2999), {usable: [], earliestEnd: 3000});
	assert.equal(backoff.isBackedOff({...one, startedAt: 2}, 2999), false);
	assert.deepEqual(backoff.partition([one, other], 3000), {usable: [one], earliestEnd: 5000});
});
