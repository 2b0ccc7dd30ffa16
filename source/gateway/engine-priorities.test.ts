import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet, routeHost} from '../testing/gateway-fleet.ts';

const priorityHeader = 'x-azuretack-request-priority';

/** Routes of a service whose generations have these priorities. */
function routesWith(priorities: readonly number[]): Array<Record<string, unknown>> {
	return priorities.map((priority, index) => ({
		name: `route-${index}`, host: routeHost, prefix: `/kind-${index}/`, kind: 'stream', timeoutMs: 10_000, targetLatencyMs: 1000, priority,
		service: 'scribe', maxAttempts: 5, resumable: true, gapAimMs: 700, stickySessions: true,
	}));
}

// Load: callers of two kinds compete for one engine. It got all requests without a priority, and answered them in the order of their arrival.
test('an engine is told the ranks of generations, and not the value that a caller sent', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({version: 2, routes: routesWith([3, 7])});
	const engine = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
	const gateway = await fleet.startGateway('gateway-1');
	for (const [index, expected] of ['0', '1'].entries()) {
		const {status} = await fleet.draft(gateway, {path: `/kind-${index}/1`, attempt: `attempt-${index}`, headers: {[priorityHeader]: '4'}});
		assert.equal(status, 200);
		assert.deepEqual(engine.runs.filter(({attempt}) => attempt === `attempt-${index}`).map(({headers}) => headers[priorityHeader]), [expected]);
	}
});

test('an engine is told no rank where all generations of its service rank the same', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({version: 2, routes: routesWith([3, 3])});
	const engine = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
	const gateway = await fleet.startGateway('gateway-1');
	const {status} = await fleet.draft(gateway, {path: '/kind-0/1'});
	assert.equal(status, 200);
	assert.deepEqual(engine.runs.map(({headers}) => headers[priorityHeader]), [undefined]);
});
