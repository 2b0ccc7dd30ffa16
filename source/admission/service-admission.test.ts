import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {type Refusal} from '../answers/mod.ts';
import {RetryBudget, retryDelay} from './retry-budget.ts';
import {ServiceAdmission, type Waiting} from './service-admission.ts';

type Asked = {waiting: Waiting; state: 'waiting' | 'admitted' | 'refused'; at: number; refusal?: Refusal};

function createService(capacity: () => number, queuedRequests = 100) {
	let now = 0;
	const service = new ServiceAdmission({
		service: 'briefs', queuedRequests, capacity, random: () => 0,
	});
	return {
		service,
		advance(milliseconds: number) {
			now += milliseconds;
		},
		release(asked: Asked) {
			service.release(asked.waiting.tokens, asked.at, now);
		},
		sweep() {
			service.sweep(now);
		},
		ask(flow: string, tokens: number, patience: number): Asked {
			const asked: Asked = {
				state: 'waiting',
				at: now,
				waiting: {
					flow, tokens, weight: 1, limitAt: now + patience,
					admit() {
						asked.state = 'admitted';
						asked.at = now;
					},
					refuse(refusal) {
						asked.state = 'refused';
						asked.at = now;
						asked.refusal = refusal;
					},
				},
			};
			service.enter(asked.waiting, now);
			return asked;
		},
	};
}

test('a request that cannot start in time is answered at arrival, with the time to come back', () => {
	const {ask, advance, release} = createService(() => 1000);
	const first = ask('a', 1000, 60_000);
	advance(10_000);
	release(first);
	ask('a', 1000, 60_000);
	const patient = ask('a', 1000, 30_000);
	const impatient = ask('a', 1000, 5000);
	assert.equal(patient.state, 'waiting');
	assert.equal(impatient.state, 'refused');
	assert.equal(impatient.refusal?.run, 'no');
	assert.equal(impatient.refusal?.code, 'overloaded');
	assert.ok(impatient.refusal.retryAfterSeconds! >= 5 && impatient.refusal.retryAfterSeconds! <= 40);
});

test('a request that waits is answered as soon as it is known not to start in time', () => {
	let capacity = 1000;
	const {ask, advance, release, sweep} = createService(() => capacity);
	const first = ask('a', 1000, 60_000);
	advance(1000);
	release(first);
	ask('a', 900, 60_000);
	const waiting = ask('b', 900, 20_000);
	assert.equal(waiting.state, 'waiting');
	capacity = 0;
	sweep();
	advance(3500);
	sweep();
	assert.equal(waiting.state, 'refused');
	assert.equal(waiting.refusal?.code, 'no_endpoint');
});

test('tokens in progress stay within the capacity, all are given back, and each request has one outcome', () => {
	const steps = fastCheck.array(fastCheck.record({
		kind: fastCheck.constantFrom('ask', 'ask', 'release', 'sweep'),
		flow: fastCheck.constantFrom('a', 'b', 'c'),
		tokens: fastCheck.integer({min: 1, max: 700}),
		patience: fastCheck.integer({min: 0, max: 20_000}),
	}), {maxLength: 200});
	fastCheck.assert(fastCheck.property(steps, sequence => {
		const {service, ask, advance, release, sweep} = createService(() => 1000, 20);
		const all: Asked[] = [];
		const running: Asked[] = [];
		for (const {kind, flow, tokens, patience} of sequence) {
			advance(100);
			if (kind === 'ask') {
				all.push(ask(flow, tokens, patience));
			} else if (kind === 'release') {
				const done = all.find(asked => asked.state === 'admitted' && !running.includes(asked));
				if (done) {
					running.push(done);
					release(done);
				}
			} else {
				sweep();
			}

			assert.ok(service.tokensInProgress <= 1000);
			assert.ok(service.waiting <= 20);
			assert.equal(service.waiting, all.filter(({state}) => state === 'waiting').length);
		}

		for (let next = all.find(asked => asked.state === 'admitted' && !running.includes(asked)); next; next = all.find(asked => asked.state === 'admitted' && !running.includes(asked))) {
			running.push(next);
			release(next);
		}

		assert.equal(service.tokensInProgress, 0);
		assert.equal(service.waiting, 0);
	}), {seed: 21});
});

test('retries stay a share of first attempts and their delays are spread', () => {
	const budget = new RetryBudget({share: 0.2, largest: 10, perSecond: 0});
	let retries = 0;
	for (let index = 0; index < 1000; index += 1) {
		budget.firstAttempt();
		retries += Number(budget.take(index));
	}

	assert.ok(retries <= 210 + 1);
	assert.ok(retries >= 200);
	assert.notEqual(retryDelay(1, 0), retryDelay(1, 1));
	assert.ok(retryDelay(30, 1) <= 2000);
});
