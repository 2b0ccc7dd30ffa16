import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {allowedLateSends, findLateSends, partKnownAfterEnds} from '../testing/late-sends.ts';
import {
	SimulatedFleet, endpointOf, propagationMilliseconds,
} from '../testing/simulated-suspects.ts';
import {RequestIdentity} from './request-identity.ts';
import {type SuspectAdmission, type SuspectedRequests} from './suspected-requests.ts';
import {
	addCrash, beginTrial, isRefused, trialDelay, type Suspicion,
} from './suspicion.ts';

/** Time within which all gateways must hold a part back after its fifth crash, in milliseconds. */
const detectionMilliseconds = 3000;

/** Time from which on the second trial of a part is due, in milliseconds. */
const trialGapMilliseconds = 1500;

let requests = 0;

/** A request of which no two are alike, with the given shared parts in its prompt. */
function requestWith(...promptParts: string[]): RequestIdentity {
	requests += 1;
	return new RequestIdentity({
		host: 'desk.example', method: 'POST', target: `/drafts/${requests}`, workspace: 'workspace-1', body: new TextEncoder().encode(`notes ${requests}`), model: 'm', promptParts,
	});
}

async function kindOf(gateway: SuspectedRequests, identity: RequestIdentity): Promise<SuspectAdmission['kind']> {
	const {kind} = await gateway.admit(identity);
	return kind;
}

/** Advances the time until all gateways have received every change. */
function settle(fleet: SimulatedFleet): void {
	fleet.advance(propagationMilliseconds);
	fleet.advance(propagationMilliseconds);
}

for (const gateways of [14, 146, 390]) {
	test(`requests with a crashing part reach engines three times at most once all of ${gateways} gateways must know of it`, async () => {
		await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 1e6}), fc.integer({min: 1, max: 5}), fc.integer({min: 20, max: 3000}), fc.boolean(), async (seed, attempts, everyMilliseconds, sharesFirstPart) => {
			const fleet = new SimulatedFleet(gateways, seed);
			const parts = sharesFirstPart ? ['first', 'dead'] : ['dead'];
			for (let round = 0; round < 60; round += 1) {
				await fleet.send(fleet.randomGateway(), requestWith(...parts), attempts);
				await fleet.serve(fleet.randomGateway(), requestWith('first'));
				fleet.advance(everyMilliseconds);
				if (fleet.random.integer(0, 19) === 0) {
					fleet.gateways.splice(0, gateways, ...fleet.gateways.map(() => fleet.createGateway()));
				}
			}

			const late = findLateSends(fleet, detectionMilliseconds, partKnownAfterEnds);
			assert.ok(late.length <= allowedLateSends, `${fleet.ends.length} crashes, ${late.length} late sends`);
		}), {seed: 34, numRuns: 25});
	});
}

test('a part that is served everywhere is not refused when an engine crashes, nor when several do in a row', async () => {
	const fleet = new SimulatedFleet(14, 1);
	for (let crash = 0; crash < 12; crash += 1) {
		await fleet.serve(fleet.randomGateway(), requestWith('common'));
		await fleet.randomGateway().recordCrash(requestWith('common'), endpointOf(crash));
		fleet.advance(500);
		await fleet.serve(fleet.randomGateway(), requestWith('common'));
		fleet.advance(500);
	}

	settle(fleet);
	for (const gateway of fleet.gateways) {
		assert.notEqual(await kindOf(gateway, requestWith('common')), 'refused');
		await gateway.recordServedParts(requestWith('common'));
	}
});

test('a part that is seen for the first time when its engine crashes is tried by one gateway at once, and cleared', async () => {
	const fleet = new SimulatedFleet(14, 2);
	const [first, second] = fleet.gateways as [SuspectedRequests, SuspectedRequests];
	await first.recordCrash(requestWith('new'), endpointOf(1));
	settle(fleet);
	const request = requestWith('new');
	assert.equal(await kindOf(second, request), 'trial');
	await second.recordServedParts(request);
	settle(fleet);
	for (const gateway of fleet.gateways) {
		assert.equal(await kindOf(gateway, requestWith('new')), 'free');
	}
});

test('a gateway that has served a part lately does not refuse it for a crash that another gateway reports, and tells all', async () => {
	const fleet = new SimulatedFleet(14, 3);
	const [first, second, third] = fleet.gateways as [SuspectedRequests, SuspectedRequests, SuspectedRequests];
	await second.recordServedParts(requestWith('common'));
	await first.recordCrash(requestWith('common'), endpointOf(1));
	settle(fleet);
	assert.equal(await kindOf(second, requestWith('common')), 'free');
	settle(fleet);
	assert.equal(await kindOf(third, requestWith('common')), 'free');
});

test('a sound part that only came with a crashing one is cleared by a request that has it alone', async () => {
	const fleet = new SimulatedFleet(14, 4);
	await fleet.send(fleet.randomGateway(), requestWith('first', 'dead'), 5);
	settle(fleet);
	const request = requestWith('first');
	const gateway = fleet.randomGateway();
	assert.equal(await kindOf(gateway, request), 'trial');
	await gateway.recordServedParts(request);
	settle(fleet);
	assert.equal(await kindOf(fleet.randomGateway(), requestWith('first')), 'free');
});

test('a sound part whose two first trials ran beside crashing requests is tried again before sound requests must be served', async () => {
	const fleet = new SimulatedFleet(14, 6);
	await fleet.randomGateway().recordCrash(requestWith('first'), endpointOf(1));
	settle(fleet);
	for (const trial of [1, 2]) {
		const gateway = fleet.randomGateway();
		const request = requestWith('first');
		assert.equal(await kindOf(gateway, request), 'trial');
		await gateway.recordCrash(request, endpointOf(trial + 1));
		settle(fleet);
		fleet.advance(trialGapMilliseconds);
	}

	fleet.advance((2 * detectionMilliseconds) - (2 * propagationMilliseconds) - trialGapMilliseconds);
	assert.notEqual(await kindOf(fleet.randomGateway(), requestWith('first')), 'refused');
});

test('two crashing parts at once are both held back', async () => {
	const fleet = new SimulatedFleet(14, 5);
	const sends: Record<string, number[]> = {one: [], two: []};
	for (let round = 0; round < 40; round += 1) {
		for (const [part, arrivals] of Object.entries(sends)) {
			const before = fleet.arrivals.length;
			await fleet.send(fleet.randomGateway(), requestWith(part), 5);
			arrivals.push(...fleet.arrivals.slice(before));
		}

		fleet.advance(300);
	}

	for (const arrivals of Object.values(sends)) {
		const late = findLateSends({arrivals, ends: arrivals}, detectionMilliseconds, partKnownAfterEnds);
		assert.ok(late.length <= allowedLateSends, `${arrivals.length} crashes, ${late.length} late sends`);
	}
});

test('without the store, a gateway tries a suspected part by itself once, and then refuses it', async () => {
	const fleet = new SimulatedFleet(3, 6);
	fleet.store.fault = 'down';
	for (let round = 0; round < 20; round += 1) {
		await fleet.send(fleet.gateways[0]!, requestWith('dead'), 5);
		fleet.advance(300);
	}

	assert.ok(fleet.ends.length <= partKnownAfterEnds, `${fleet.ends.length} crashes`);
});

test('no sequence of crashes and trials refuses a part for longer than ten minutes without a trial, until its evidence is an hour old', () => {
	fc.assert(fc.property(fc.array(fc.record({wait: fc.integer({min: 0, max: 700_000}), crashes: fc.boolean()}), {maxLength: 30}), steps => {
		let now = 0;
		let endpoints = 0;
		const crash = () => {
			endpoints += 1;
			return {kind: 'part' as const, service: 'scribe', incarnation: {id: `scribe-${endpoints}`, startedAt: 1}};
		};

		let suspicion: Suspicion = addCrash(undefined, crash(), now);
		for (const {wait, crashes} of steps) {
			now += wait;
			suspicion = beginTrial(suspicion, 'sole', now) ?? (crashes ? addCrash(suspicion, crash(), now) : suspicion);
			const tried = suspicion.trials;
			assert.ok(!isRefused(suspicion) || tried >= 4 || trialDelay(suspicion, 'sole') <= 600_000);
		}
	}));
});

test('a part that was served before is refused once engines have crashed on it three times in a row', async () => {
	const fleet = new SimulatedFleet(1, 7);
	const [gateway] = fleet.gateways as [SuspectedRequests];
	await gateway.recordServedParts(requestWith('turned'));
	for (let crash = 1; crash <= 3; crash += 1) {
		fleet.advance(100);
		assert.equal(await kindOf(gateway, requestWith('turned')), 'free');
		await gateway.recordCrash(requestWith('turned'), endpointOf(crash));
	}

	assert.equal(await kindOf(gateway, requestWith('turned')), 'trial');
});

test('a suspected part that the store has lost by coming back from an older copy stays refused, and is saved again', async () => {
	const fleet = new SimulatedFleet(3, 8);
	const [gateway] = fleet.gateways as [SuspectedRequests];
	for (let round = 0; round < 3; round += 1) {
		await fleet.send(gateway, requestWith('dead'), 5);
		settle(fleet);
	}

	fleet.store.restoreEmpty();
	settle(fleet);
	const saving = new AbortController();
	const saved = fleet.gateways.map(async each => each.saveUnsaved(saving.signal));
	assert.equal(await kindOf(gateway, requestWith('dead')), 'refused');
	while (!fleet.store.publishedRows().some(({suspicion}) => suspicion && suspicion.ends.length > 1)) {
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}

	saving.abort();
	await Promise.all(saved);
	settle(fleet);
	assert.deepEqual(await Promise.all(fleet.gateways.map(async each => kindOf(each, requestWith('dead')))), ['refused', 'refused', 'refused']);
});
