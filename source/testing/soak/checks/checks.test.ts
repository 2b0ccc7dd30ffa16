import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createHistory} from '../history.ts';
import {retryBounds} from '../plan.ts';
import {prefixes} from '../requests.ts';
import {checks} from './mod.ts';
import {testMutations} from './test-mutations.ts';

testMutations({part: 0, parts: 2});

test('no check fires where nothing was seen', () => {
	for (const [name, check] of Object.entries(checks)) {
		assert.deepEqual(check(createHistory(retryBounds.usual), 0), [], name);
	}
});

/** A history in which one request of many reaches a worker, and is then sent to it again and again. */
function historyOfRetries(retries: number) {
	const history = createHistory(retryBounds.usual);
	history.configurations.push({
		version: 1, at: 0, keys: {}, services: {[prefixes.idempotent]: 'desk', [prefixes.generation]: 'scribe'},
	});
	const request = (attempt: string, kind: 'idempotent' | 'generation') => ({
		attempt, kind, gateway: 'gateway-1', workspace: 'workspace-1', key: 'key', method: 'GET', target: `${prefixes[kind]}1`, body: '', lastEvent: 0, sentAt: 5000, deadlineMilliseconds: 3000,
	});
	history.requests.push(request('first', 'idempotent'));
	for (let number = 0; number < 100; number += 1) {
		history.requests.push(request(`desk-${number}`, 'idempotent'), request(`scribe-${number}`, 'generation'));
	}

	for (let send = 0; send <= retries; send += 1) {
		history.arrivals.push({
			attempt: 'first', service: 'desk', worker: 'desk-1', at: 5000 + send, backoffUntil: undefined, saysLeaving: false,
		});
	}

	return history;
}

test('requests that reach no worker allow retries at the service of their route, and at no other one', () => {
	const allowed = Math.floor((retryBounds.usual.ratio * 101) + retryBounds.usual.slack);
	assert.deepEqual(checks.retryBudget(historyOfRetries(allowed), 10_000), []);
	assert.equal(checks.retryBudget(historyOfRetries(allowed + 1), 10_000).length, 1);
});

test('callers that give up once their deadline has passed do not hide a gateway that never answers', () => {
	const history = createHistory(retryBounds.usual);
	for (let number = 0; number < 100; number += 1) {
		const sentAt = 5000 + (number * 100);
		const isAnswered = number % 2 === 0;
		history.requests.push({
			attempt: `attempt-${number}`, kind: 'idempotent', gateway: isAnswered ? 'gateway-1' : 'gateway-2', workspace: 'workspace-1', key: 'key', method: 'GET', target: '/', body: '', lastEvent: 0, sentAt, deadlineMilliseconds: 2500,
			answer: isAnswered
				? {
					at: sentAt + 10, status: 200, stamp: undefined, saysLeaving: false, namesLimit: false, attempt: undefined, body: '', whole: true,
				}
				: undefined,
			leftAt: isAnswered ? undefined : sentAt + 4500,
		});
	}

	assert.equal(checks.answersInTime(history, 60_000).length, 50);
});
