import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {type Refusal} from '../answers/mod.ts';
import {RetryBudget, retryDelay} from './retry-budget.ts';
import {ServiceAdmission, type QueuedRequest} from './service-admission.ts';

type SubmittedRequest = {queued: QueuedRequest; state: 'waiting' | 'admitted' | 'refused'; at: number; refusal?: Refusal};

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
		release(submitted: SubmittedRequest) {
			service.release(submitted.queued.tokens, submitted.at, now);
		},
		sweep() {
			service.sweep(now);
		},
		submit(flow: string, tokens: number, maximumWait: number): SubmittedRequest {
			const submitted: SubmittedRequest = {
				state: 'waiting',
				at: now,
				queued: {
					flow, tokens, weight: 1, waitDeadline: now + maximumWait,
					admit() {
						submitted.state = 'admitted';
						submitted.at = now;
					},
					refuse(refusal) {
						submitted.state = 'refused';
						submitted.at = now;
						submitted.refusal = refusal;
					},
				},
			};
			service.submit(submitted.queued, now);
			return submitted;
		},
	};
}

test('a request that cannot start in time is refused on arrival, with a Retry-After value', () => {
	const {submit, advance, release} = createService(() => 1000);
	const first = submit('a', 1000, 60_000);
	advance(10_000);
	release(first);
	submit('a', 1000, 60_000);
	const tolerant = submit('a', 1000, 30_000);
	const urgent = submit('a', 1000, 5000);
	assert.equal(tolerant.state, 'waiting');
	assert.equal(urgent.state, 'refused');
	assert.equal(urgent.refusal?.run, 'no');
	assert.equal(urgent.refusal?.code, 'overloaded');
	assert.ok(urgent.refusal.retryAfterSeconds! >= 5 && urgent.refusal.retryAfterSeconds! <= 40);
});

test('a queued request is refused as soon as it is known that it cannot start in time', () => {
	let capacity = 1000;
	const {submit, advance, release, sweep} = createService(() => capacity);
	const first = submit('a', 1000, 60_000);
	advance(1000);
	release(first);
	submit('a', 900, 60_000);
	const waiting = submit('b', 900, 20_000);
	assert.equal(waiting.state, 'waiting');
	capacity = 0;
	sweep();
	advance(3500);
	sweep();
	assert.equal(waiting.state, 'refused');
	assert.equal(waiting.refusal?.code, 'no_endpoint');
});

test('tokens in progress stay within the capacity, all are released, and each request has one outcome', () => {
	const steps = fastCheck.array(fastCheck.record({
		kind: fastCheck.constantFrom('submit', 'submit', 'release', 'sweep'),
		flow: fastCheck.constantFrom('a', 'b', 'c'),
		tokens: fastCheck.integer({min: 1, max: 700}),
		maximumWait: fastCheck.integer({min: 0, max: 20_000}),
	}), {maxLength: 200});
	fastCheck.assert(fastCheck.property(steps, sequence => {
		const {service, submit, advance, release, sweep} = createService(() => 1000, 20);
		const all: SubmittedRequest[] = [];
		const released: SubmittedRequest[] = [];
		for (const {kind, flow, tokens, maximumWait} of sequence) {
			advance(100);
			if (kind === 'submit') {
				all.push(submit(flow, tokens, maximumWait));
			} else if (kind === 'release') {
				const done = all.find(entry => entry.state === 'admitted' && !released.includes(entry));
				if (done) {
					released.push(done);
					release(done);
				}
			} else {
				sweep();
			}

			assert.ok(service.tokensInProgress <= 1000);
			assert.ok(service.waiting <= 20);
			assert.equal(service.waiting, all.filter(({state}) => state === 'waiting').length);
		}

		for (let next = all.find(entry => entry.state === 'admitted' && !released.includes(entry)); next; next = all.find(entry => entry.state === 'admitted' && !released.includes(entry))) {
			released.push(next);
			release(next);
		}

		assert.equal(service.tokensInProgress, 0);
		assert.equal(service.waiting, 0);
	}), {seed: 21});
});

test('retries stay within their ratio of first attempts and their delays have jitter', () => {
	const budget = new RetryBudget({ratio: 0.2, capacity: 10, perSecond: 0});
	let retries = 0;
	for (let index = 0; index < 1000; index += 1) {
		budget.recordFirstAttempt();
		retries += Number(budget.take(index));
	}

	assert.ok(retries <= 210 + 1);
	assert.ok(retries >= 200);
	assert.notEqual(retryDelay(1, 0), retryDelay(1, 1));
	assert.ok(retryDelay(30, 1) <= 2000);
});
