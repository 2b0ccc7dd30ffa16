import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {eventsOf, expectedEvents, GatewayFleet} from '../testing/gateway-fleet.ts';

/** Load queries of an engine that one request may cost. */
const maximumReports = 20;

// An engine that only its report shows to be leaving was ranked again and again, without a pause, until the deadline.
test('a generation is refused at once, after few load queries, where the only engine reports that it is leaving', async () => {
	await using fleet = await GatewayFleet.create();
	const engine = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
	engine.falseReport = 'leaving';
	const gateway = await fleet.startGateway('gateway-1');
	const sentAt = performance.now();
	const {status} = await fleet.draft(gateway, {deadlineMilliseconds: 3000});
	assert.equal(status, 503);
	assert.ok(performance.now() - sentAt < 1000, `refused after ${Math.round(performance.now() - sentAt)} ms`);
	assert.ok(engine.reports < maximumReports, `${engine.reports} load queries`);
});

// The search for another engine did not end, and the gateway queried the leaving one without a pause.
test('a stream whose engine is silent for 2.5 s goes on, after few load queries, where the other engine reports that it is leaving', async () => {
	await using fleet = await GatewayFleet.create();
	const options = {service: 'scribe', events: 40, eventMilliseconds: 50};
	const running = await fleet.startWorker({id: 'scribe-1', ...options});
	const gateway = await fleet.startGateway('gateway-1');
	const answering = fleet.draft(gateway, {deadlineMilliseconds: 9000});
	await fleet.until(() => running.runs.length > 0, 'the stream runs');
	const leaving = await fleet.startWorker({id: 'scribe-2', ...options});
	leaving.falseReport = 'leaving';
	await delay(1000);
	running.suspension.start(2500);
	const {body, whole} = await answering;
	assert.deepEqual(eventsOf(body), expectedEvents(40));
	assert.ok(whole);
	assert.ok(leaving.reports < maximumReports, `${leaving.reports} load queries`);
});
