import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	eventsOf, expectedEvents, GatewayFleet,
} from '../testing/gateway-fleet.ts';

/** Time within which a generation must complete at another engine: six maximum event pauses of the route and one second, in milliseconds. */
const resumeTimeoutMilliseconds = 5200;

for (const fault of ['stall-comment', 'stall-half', 'stall-line'] as const) {
	test(`a generation whose engine stalls (${fault}) resumes at another engine, and its caller gets each event once`, async () => {
		await using fleet = await GatewayFleet.create();
		const stalled = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
		const gateway = await fleet.startGateway('gateway-1');
		stalled.fault = fault;
		const startedAt = performance.now();
		const answering = fleet.draft(gateway, {deadlineMilliseconds: 10_000});
		await fleet.until(() => stalled.runs.length > 0, 'the first engine runs it');
		await fleet.startWorker({id: 'scribe-2', service: 'scribe'});
		const answer = await answering;
		const messages = answer.body.split('\n\n').filter(block => block.includes('data: ')).join('\n\n');
		assert.deepEqual(eventsOf(messages), expectedEvents(20));
		assert.ok(answer.whole);
		assert.ok(performance.now() - startedAt < resumeTimeoutMilliseconds, `${performance.now() - startedAt} ms`);
		assert.ok(stalled.runs.every(({endedAt}) => endedAt !== undefined), 'the run at the stalled engine was ended');
	});
}

test('a generation with pauses just below the maximum of its route stays at its engine', async () => {
	await using fleet = await GatewayFleet.create();
	const slow = await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', events: 6, eventMilliseconds: 650,
	});
	const other = await fleet.startWorker({
		id: 'scribe-2', service: 'scribe', events: 6, eventMilliseconds: 650,
	});
	const gateway = await fleet.startGateway('gateway-1');
	const answer = await fleet.draft(gateway, {deadlineMilliseconds: 10_000});
	assert.deepEqual(eventsOf(answer.body), expectedEvents(6));
	assert.equal(slow.runs.length + other.runs.length, 1);
});
