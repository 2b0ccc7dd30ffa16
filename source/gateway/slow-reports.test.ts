import assert from 'node:assert/strict';
import {test} from 'node:test';
import {eventsOf, expectedEvents, GatewayFleet} from '../testing/gateway-fleet.ts';

/** Options of an engine that reports slowly, and whose events arrive within the maximum pause of the route. */
const slowToReport = {
	service: 'scribe', events: 6, eventMilliseconds: 600, reportMilliseconds: 300,
};

test('a generation without a stall stays at an engine that reports slowly', async () => {
	await using fleet = await GatewayFleet.create();
	const engines = [await fleet.startWorker({id: 'scribe-1', ...slowToReport}), await fleet.startWorker({id: 'scribe-2', ...slowToReport})];
	const gateway = await fleet.startGateway('gateway-1');
	const answer = await fleet.draft(gateway, {deadlineMilliseconds: 10_000});
	assert.deepEqual(eventsOf(answer.body), expectedEvents(6));
	assert.equal(engines.reduce((sum, {runs}) => sum + runs.length, 0), 1);
});
