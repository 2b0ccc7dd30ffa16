import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {
	createHistory, type History, type SeenAnswer, type SeenRequest,
} from '../history.ts';
import {retryBounds} from '../plan.ts';
import {checks} from './mod.ts';

const sentAt = 20_000;

const request: SeenRequest = {
	attempt: 'attempt-1', kind: 'generation', gateway: 'gateway-1', workspace: 'workspace-1', key: 'key', method: 'POST', target: '/drafts/1', body: 'notes 1', lastEvent: 0, sentAt, deadlineMilliseconds: 10_000,
};

function answerOf(changes: Partial<SeenAnswer>): SeenAnswer {
	return {
		at: sentAt + 1000, status: 200, stamp: undefined, saysLeaving: false, namesLimit: false, attempt: undefined, body: '', whole: true, ...changes,
	};
}

const closed = answerOf({status: 0, whole: false});
const cut = answerOf({whole: false});

/** A history with one request, changed as given, that a worker runs. */
function historyWith(changes: Partial<SeenRequest>, others: Partial<History> = {}): History {
	return {
		...createHistory(retryBounds.usual),
		requests: [{...request, ...changes}],
		runs: [{
			attempt: 'attempt-1', worker: 'scribe-1', service: 'scribe', headers: {}, body: '', method: 'POST', target: '/drafts/1', startedAt: sentAt + 5, endedAt: sentAt + 900, status: 200, answer: '',
		}],
		...others,
	};
}

const harm = (target: string, from = sentAt + 500) => ({
	disturbances: [{
		kind: 'harm', target, from, until: from + 100,
	}],
});
const stop = (at: number) => ({
	stops: [{gateway: 'gateway-1', at}],
	disturbances: [{
		kind: 'gateway stopped', target: 'gateway-1', from: at, until: at + 9000,
	}],
});
const early = sentAt - 500;

/** No run, and another request that the gateway answered, sent at the given time. */
const unrun = (otherSentAt: number): Partial<History> => ({
	runs: [], requests: [{...request, answer: closed}, {
		...request, attempt: 'attempt-2', sentAt: otherSentAt, answer: answerOf({at: otherSentAt + 10}),
	}],
});

const broken: Record<string, History> = {
	'a connection that closes without an answer': historyWith({answer: closed}),
	'an answer that is cut': historyWith({answer: cut}),
	'a connection that closes at a gateway that has answered another caller since it was harmed': historyWith({}, {...harm('gateway-1', 10_000), ...unrun(early)}),
	'no answer long after the deadline': historyWith({}),
	'no answer until the caller gives up long after the deadline': historyWith({leftAt: sentAt + 12_000}),
	'a connection that closes while the worker is harmed': historyWith({answer: closed}, harm('scribe-1')),
	'a connection that closes while the store is harmed': historyWith({answer: closed}, harm('store')),
	'a connection that closes while another gateway is harmed': historyWith({answer: closed}, harm('gateway-2')),
	'a connection that closes at the beginning of a planned stop': historyWith({answer: closed}, stop(sentAt + 500)),
	'a request that was read in a planned stop and cut before its end': historyWith({answer: cut}, stop(sentAt - 500)),
};

const kept: Record<string, History> = {
	'a connection that closes at a gateway that has answered nobody since it was harmed': historyWith({}, {...harm('gateway-1', 10_000), ...unrun(9000)}),
	'a whole answer': historyWith({answer: answerOf({})}),
	'a refusal': historyWith({answer: answerOf({status: 503})}),
	'a caller that leaves': historyWith({leftAt: sentAt + 500}),
	'a connection that closes while the gateway is harmed': historyWith({answer: closed}, harm('gateway-1')),
	'a connection that was open while the gateway was harmed': historyWith({answer: closed, connectedAt: 3000}, harm('gateway-1', 4000)),
	'an answer that is cut while its worker is harmed': historyWith({answer: cut}, harm('scribe-1')),
	'an answer that is cut at its deadline': historyWith({answer: answerOf({whole: false, at: sentAt + 10_000})}),
	'a request in progress at the end of a planned stop': historyWith({answer: cut}, stop(sentAt - 6900)),
	'a request that a gateway that stops did not read': historyWith({answer: closed}, {...stop(sentAt - 500), runs: []}),
};

describe('the check that each request has an end', () => {
	for (const [name, history] of Object.entries(broken)) {
		test(`fires for ${name}`, () => {
			assert.deepEqual(checks.endOfEachRequest(history, 60_000).map(({attempt}) => attempt), ['attempt-1']);
		});
	}

	for (const [name, history] of Object.entries(kept)) {
		test(`does not fire for ${name}`, () => {
			assert.deepEqual(checks.endOfEachRequest(history, 60_000), []);
		});
	}
});
