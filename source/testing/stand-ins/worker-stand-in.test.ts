import assert from 'node:assert/strict';
import {test} from 'node:test';
import {blockEventLoop} from '../block-event-loop.ts';
import {sendCall} from '../call.ts';
import {GatewayFleet} from '../gateway-fleet.ts';

/** Time that a worker takes to read a prompt, in milliseconds. */
const promptMilliseconds = 100;

/** The same, for a report meanwhile. */
const longPromptMilliseconds = 3000;

test('a worker asks to back off where it refuses for want of room, and not where it was asked under another name', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	worker.backoffSeconds = 3;
	for (const [name, status, retryAfter] of [['desk-1', 503, '3'], ['desk-0', 421, null]] as const) {
		const response = await fetch(`http://${worker.options.listen}/status/1`, {headers: {'x-azuretack-target-instance': name}});
		assert.equal(response.status, status);
		assert.equal(response.headers.get('retry-after'), retryAfter);
		assert.equal(worker.arrivals.at(-1)!.backoffUntil === undefined, retryAfter === null);
	}
});

test('a worker whose process ends under two requests at once ends once', async () => {
	await using fleet = await GatewayFleet.create();
	let ends = 0;
	const worker = await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', promptMilliseconds, endsUnder: () => true, onEnd() {
			ends += 1;
		},
	});
	const headers = {'x-azuretack-target-instance': 'scribe-1', 'x-azuretack-token-counts': '800,40'};
	const calls = [1, 2].map(async number => sendCall(worker.options.listen, {path: `/drafts/${number}`, headers: {...headers, 'x-azuretack-attempt-id': `attempt-${number}`}}));
	await fleet.until(() => worker.arrivals.length === 2, 'both requests arrived');
	blockEventLoop(2 * promptMilliseconds);
	const answers = await Promise.all(calls);
	assert.deepEqual(answers.map(({status}) => status), [0, 0]);
	assert.equal(ends, 1);
});

test('a worker reports a generation while it reads its prompt', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', promptMilliseconds: longPromptMilliseconds, events: 1, eventMilliseconds: 1,
	});
	const headers = {'x-azuretack-target-instance': 'scribe-1', 'x-azuretack-token-counts': '800,40', 'x-azuretack-attempt-id': 'attempt-1'};
	const answering = sendCall(worker.options.listen, {path: '/drafts/1', headers});
	await fleet.until(() => worker.runs.length === 1, 'the generation runs');
	const {body} = await sendCall(worker.options.listen, {path: '/api/report'});
	const {running, runs} = JSON.parse(body) as {running: number; runs: Array<[string, number, number, number]>};
	assert.equal(running, 1);
	assert.deepEqual(runs.map(([attempt, , events]) => [attempt, events]), [['attempt-1', 0]]);
	await answering;
});
