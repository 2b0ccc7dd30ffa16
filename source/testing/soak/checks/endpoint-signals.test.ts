import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createHistory, type History, type SeenAnswer, type SeenRequest,
} from '../history.ts';
import {retryBounds} from '../plan.ts';
import {wordOfLeaving} from './endpoint-signals.ts';

const leavingAnswer: SeenAnswer = {
	at: 100, status: 200, stamp: undefined, saysLeaving: true, namesLimit: false, attempt: 'attempt-1', body: '', whole: true,
};

function requestAt(attempt: string, sentAt: number, answer?: SeenAnswer): SeenRequest {
	return {
		attempt, sentAt, answer, kind: 'idempotent', gateway: 'gateway-1', workspace: 'workspace-1', key: 'key-1', method: 'POST', target: '/', body: '', lastEvent: 0, deadlineMilliseconds: 2500,
	};
}

/** An attempt that reaches two workers, then one for each of them; only the first worker said that it leaves. */
function hedgedHistory(): History {
	const history = createHistory(retryBounds.usual);
	const arrive = (attempt: string, worker: string, at: number, saysLeaving = false) => {
		history.arrivals.push({
			attempt, worker, at, saysLeaving, service: 'desk', backoffUntil: undefined,
		});
		history.runs.push({
			attempt, worker, service: 'desk', headers: {}, body: '', method: 'POST', target: '/', startedAt: at, endedAt: at, status: 200, answer: '',
		});
	};

	arrive('attempt-1', 'desk-1', 10, true);
	arrive('attempt-1', 'desk-2', 50);
	history.requests.push(requestAt('attempt-1', 0, leavingAnswer), requestAt('attempt-2', 9000), requestAt('attempt-3', 9000));
	arrive('attempt-2', 'desk-1', 9010);
	arrive('attempt-3', 'desk-2', 9010);
	return history;
}

test('of two workers that an attempt reached, only the one that said that it leaves must get nothing more', () => {
	const violations = wordOfLeaving(hedgedHistory(), 10_000);
	assert.deepEqual(violations.map(({attempt}) => attempt), ['attempt-2']);
});
