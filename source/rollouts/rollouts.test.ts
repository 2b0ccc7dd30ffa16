import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type EndpointEntry} from '../registry/mod.ts';
import {advanceRollout, startRollout} from './advance-rollout.ts';
import {
	countEnd, emptyEvidence, evidenceSince, sumEvidence, type Evidence, type VersionedEnd,
} from './evidence.ts';
import {Exposure, grantedShare, usedShare} from './exposure.ts';
import {certainty, judgeVersion} from './judge.ts';
import {type RolloutRecord} from './rollout.ts';
import {Rollouts} from './rollouts.ts';

const bounds = {
	exposeShare: 0.1, exposeSlack: 50, rollbackMilliseconds: 5000, spreadMilliseconds: 3000,
};

const order = {
	id: '7/v2/20', service: 'desk', to: 'v2', durationMilliseconds: 20_000,
};

/** Pseudo-random numbers from 0 to 1. */
function randomFrom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
		return state / 4_294_967_296;
	};
}

function endpointsOf(count: number, version: string): EndpointEntry[] {
	return Array.from({length: count}, (_unused, index) => ({
		id: `${version}-${index}`, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'zone-a', slots: 8, leaving: false, startedAt: 1, version,
	}));
}

/** Counts answers of one version on a route; a function of the number of the answer says how it ended. */
function count(evidence: Evidence, arm: VersionedEnd['arm'], answers: number, endOf: (index: number) => Partial<VersionedEnd>): void {
	for (let index = 0; index < answers; index += 1) {
		countEnd(evidence, {
			arm, route: 'deposit', endpoint: `${arm}-${index % 6}`, isFailure: false, milliseconds: 20, ...endOf(index),
		});
	}
}

test('gateways of any number that serve uneven load, and are killed and started again, together stay within the share and slack of a version under trial', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 400}), fc.integer({min: 0, max: 4000}), fc.nat(), (gateways, requests, seed) => {
		const random = randomFrom(seed);
		const share = bounds.exposeShare * usedShare;
		const grants = Math.floor(bounds.exposeSlack * grantedShare);
		const exposures = Array.from({length: gateways}, (_unused, index) => new Exposure(random(), index < grants ? 1 : 0));
		let sent = 0;
		for (let request = 1; request <= requests; request += 1) {
			// Squared, so that few gateways serve most requests.
			const index = Math.floor((random() ** 2) * gateways);
			if (random() < 0.002) {
				exposures[index] = new Exposure(random());
			}

			sent += exposures[index]!.draw() ? 1 : 0;
			exposures[index]!.earn(share);
			assert.ok(sent <= (bounds.exposeShare * request) + bounds.exposeSlack, `${sent} of ${request}`);
		}
	}));
});

test('a version that fails part of its answers, or is slow on one route, is judged to be bad before its fiftieth bad answer', () => {
	const bads: Array<(index: number, random: () => number) => Partial<VersionedEnd>> = [
		(_index, random) => ({isFailure: random() < 0.3}),
		(_index, random) => ({milliseconds: random() < 0.4 ? 90 : 20}),
		(index, random) => ({route: index % 3 === 0 ? 'status' : 'deposit', isFailure: index % 3 === 0 && random() < 0.5}),
	];
	fc.assert(fc.property(fc.nat(), fc.constantFrom(...bads), (seed, badOf) => {
		const random = randomFrom(seed);
		const evidence = emptyEvidence(order.id);
		for (const route of ['deposit', 'status']) {
			count(evidence, 'serving', 200, () => ({route, milliseconds: 15 + (random() * 10), isFailure: random() < 0.01}));
		}

		let badAnswers = 0;
		while (!judgeVersion(evidence, certainty.during, 6).isBad) {
			const end = badOf(Math.floor(random() * 1000), random);
			badAnswers += end.isFailure === true || (end.milliseconds ?? 0) > 50 ? 1 : 0;
			assert.ok(badAnswers < 50);
			count(evidence, 'trial', 1, () => ({...end, endpoint: `trial-${Math.floor(random() * 6)}`}));
		}
	}), {numRuns: 60});
});

test('a sound version is kept while both versions fail and slow down alike, and while one of its endpoints is faulty', () => {
	let judgedBad = 0;
	const runs = 100;
	for (let seed = 1; seed <= runs; seed += 1) {
		const random = randomFrom(seed);
		const evidence = emptyEvidence(order.id);
		const faulty = seed % 2 === 0;
		for (let step = 0; step < 20; step += 1) {
			const loadFactor = 1 + (step % 5 / 5);
			count(evidence, 'serving', 30, () => ({milliseconds: (15 + (random() * 10)) * loadFactor, isFailure: random() < 0.03}));
			count(evidence, 'trial', 3, index => ({
				endpoint: `trial-${index + (3 * (step % 2))}`, milliseconds: (15 + (random() * 10)) * loadFactor, isFailure: (faulty && index + (3 * (step % 2)) === 1 && random() < 0.5) || random() < 0.03,
			}));
			if (judgeVersion(evidence, certainty.during, 6).isBad) {
				judgedBad += 1;
				break;
			}
		}
	}

	assert.ok(judgedBad <= runs / 50, `${judgedBad} of ${runs} sound versions were judged to be bad`);
});

test('a version that turns bad after thousands of good answers is rolled back by what its last seconds show', () => {
	const early = emptyEvidence(order.id);
	count(early, 'serving', 9000, () => ({}));
	count(early, 'trial', 1000, () => ({}));
	const late = sumEvidence(order.id, [early]);
	count(late, 'serving', 100, () => ({}));
	count(late, 'trial', 14, index => ({isFailure: index % 2 === 0}));
	const record = startRollout({
		order, previous: undefined, established: 'v1', gateways: [], bounds, now: 0,
	});
	const progress = {
		record, total: late, recent: evidenceSince(late, early), trialEndpoints: 6, bounds, now: 12_000,
	};
	assert.equal(judgeVersion(late, certainty.during, 6).isBad, false);
	assert.equal(advanceRollout(progress)?.phase, 'rolled-back');
});

test('a good version gets all requests before the order is completed, and that before the deadline', () => {
	const good = emptyEvidence(order.id);
	count(good, 'serving', 300, () => ({}));
	count(good, 'trial', 30, () => ({}));
	let record = startRollout({
		order, previous: undefined, established: 'v1', gateways: ['gateway-1/1'], bounds, now: 0,
	});
	const phaseAt = new Map<RolloutRecord['phase'], number>([['running', 0]]);
	for (let now = 0; now <= order.durationMilliseconds; now += 400) {
		const next = advanceRollout({
			record, total: good, recent: good, trialEndpoints: 6, bounds, now,
		});
		record = next ?? record;
		if (next && !phaseAt.has(next.phase)) {
			phaseAt.set(next.phase, now);
		}
	}

	assert.equal(record.phase, 'completed');
	assert.ok(phaseAt.get('completed')! - phaseAt.get('promoted')! >= bounds.spreadMilliseconds);
	assert.ok(phaseAt.get('completed')! <= order.durationMilliseconds - 1000);
});

test('an order of a version that nobody could try is rolled back at its deadline, and one of the serving version is completed at once', () => {
	const record = startRollout({
		order, previous: undefined, established: 'v1', gateways: [], bounds, now: 0,
	});
	const unseen = emptyEvidence(order.id);
	const ended = advanceRollout({
		record, total: unseen, recent: unseen, trialEndpoints: 0, bounds, now: order.durationMilliseconds,
	});
	assert.equal(ended?.phase, 'rolled-back');
	const again = startRollout({
		order, previous: undefined, established: 'v2', gateways: [], bounds, now: 0,
	});
	assert.equal(again.phase, 'completed');
});

/** What one gateway knows of roll-outs, before endpoints of two versions. */
function createKnown() {
	const clock = {now: 0};
	const endpoints = [...endpointsOf(6, 'v1'), ...endpointsOf(6, 'v2')];
	const rollouts = new Rollouts({
		bounds,
		self: 'gateway-1/1',
		endpointsOf: () => endpoints,
		logger: {
			debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
		},
		readClock: () => ({steady: clock.now, wall: clock.now}),
		random: () => 0.99,
		countAnswer: () => undefined,
	});
	const record = startRollout({
		order, previous: undefined, established: 'v1', gateways: ['gateway-1/1'], bounds, now: 0,
	});
	rollouts.orders.apply([{key: 'desk', content: order, revision: 7}]);
	rollouts.orders.confirm(7);
	const versionsFor = () => new Set(rollouts.openTicket('desk', 'deposit').usable(endpoints).map(({version}) => version));
	return {
		clock, endpoints, rollouts, record, versionsFor,
	};
}

test('a gateway sends nothing to the new version before it knows the record, and once nobody has confirmed that for half of the time for a roll-back', () => {
	const {clock, rollouts, record, versionsFor} = createKnown();
	assert.deepEqual(versionsFor(), new Set(['v1']));
	rollouts.applyRecords([{key: 'desk', content: record, revision: 8}]);
	assert.deepEqual(versionsFor(), new Set(['v1']));
	rollouts.confirmRecords(8, {steady: 0, wall: 0});
	assert.deepEqual(versionsFor(), new Set(['v2']));
	clock.now = 2600;
	assert.deepEqual(versionsFor(), new Set(['v1']));
});

test('a gateway that is cut from all others stops by its own evidence', () => {
	const {endpoints, rollouts, record, versionsFor} = createKnown();
	rollouts.applyRecords([{key: 'desk', content: {...record, grantees: []}, revision: 8}]);
	rollouts.confirmRecords(8, {steady: 0, wall: 0});
	for (let index = 0; index < 20; index += 1) {
		const ticket = rollouts.openTicket('desk', 'deposit');
		ticket.recordSent(endpoints[index % 6]!);
		ticket.recordEnd(endpoints[index % 6]!, {isFailure: false, milliseconds: 20});
	}

	for (let index = 0; index < 10; index += 1) {
		rollouts.openTicket('desk', 'deposit').recordEnd(endpoints[6 + (index % 2)]!, {isFailure: true, milliseconds: 20});
	}

	for (let index = 0; index < 200; index += 1) {
		assert.deepEqual(versionsFor(), new Set(['v1']));
		rollouts.exposureOf('desk')!.earn(0.1);
	}
});

test('retries leave the version under trial, and a generation that began there goes on there', () => {
	const {endpoints, rollouts, record} = createKnown();
	rollouts.applyRecords([{key: 'desk', content: record, revision: 8}]);
	rollouts.confirmRecords(8, {steady: 0, wall: 0});
	const versionsOf = (ticket: ReturnType<typeof rollouts.openTicket>) => new Set(ticket.usable(endpoints).map(({version}) => version));
	const ticket = rollouts.openTicket('desk', 'draft');
	assert.deepEqual(versionsOf(ticket), new Set(['v2']));
	ticket.recordSent(endpoints[6]!);
	assert.deepEqual(versionsOf(ticket), new Set(['v1']));
	ticket.recordBegin(endpoints[6]!);
	assert.deepEqual(versionsOf(ticket), new Set(['v2']));
	rollouts.applyRecords([{key: 'desk', content: {...record, sequence: 2, phase: 'rolled-back'}, revision: 9}]);
	assert.deepEqual(versionsOf(ticket), new Set(['v1']));
});

test('a record that the store has lost by coming back from an older copy stays in force, and its order is open until it is written again', () => {
	const {rollouts, record, versionsFor} = createKnown();
	rollouts.applyRecords([{key: 'desk', content: {...record, sequence: 4, phase: 'completed'}, revision: 9}]);
	assert.deepEqual(rollouts.openOrders, []);
	rollouts.replaceRecords([{key: 'desk', content: record, revision: 1e12 + 3}]);
	assert.deepEqual(versionsFor(), new Set(['v2']));
	assert.deepEqual(rollouts.openOrders, [order]);
	rollouts.confirmStored('desk');
	assert.deepEqual(rollouts.openOrders, []);
});
