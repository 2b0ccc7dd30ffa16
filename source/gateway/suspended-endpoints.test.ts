import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	eventsOf, expectedEvents, GatewayFleet, routeHost, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {type WorkerStandIn} from '../testing/stand-ins/worker-stand-in.ts';

/** Events of each stream, and the time between two of them in milliseconds. */
const stream = {events: 40, eventMilliseconds: 50};

/** Suspensions after which a sound endpoint goes on, in milliseconds. */
const suspensions = [1000, 1500];

const streamCount = 6;

/** A stream route, whose streams may be resumed or not. */
function streamRoute(resumable: boolean): Record<string, unknown> {
	return {
		name: 'draft',
		host: routeHost,
		prefix: '/drafts/',
		kind: 'stream',
		timeoutMs: 20_000,
		targetLatencyMs: 1000,
		priority: 1,
		service: 'scribe',
		maxAttempts: resumable ? 5 : 1,
		resumable,
		gapAimMs: 700,
		stickySessions: true,
	};
}

/** What happens to the gateway while the endpoint is suspended. */
const changes: Record<string, (fleet: GatewayFleet, gateway: GatewayProcess, routes: Array<Record<string, unknown>>) => Promise<void>> = {
	async 'no change'() {
		await delay(0);
	},
	async 'three configurations'(fleet, _gateway, routes) {
		for (const version of [2, 3, 4]) {
			fleet.configure({version, routes: routes.map(route => ({...route, timeoutMs: 20_000 - version}))});
			await delay(250);
		}
	},
	async 'SIGHUP'(_fleet, {child}) {
		child.kill('SIGHUP');
		await delay(100);
		child.kill('SIGHUP');
	},
	async 'a planned stop'(_fleet, {child}) {
		child.kill('SIGTERM');
		await delay(0);
	},
};

/** A case: which endpoints are suspended when, and whether streams may be resumed. */
type Suspension = {resumable: boolean; suspended: 'one of two' | 'both'; phase: 'mid-stream' | 'before the first event'; milliseconds: number; change: string};

/** Plays a case and returns the fleet's workers after all streams ended whole. */
async function playSuspension({resumable, suspended, phase, milliseconds, change}: Suspension): Promise<WorkerStandIn[]> {
	await using fleet = await GatewayFleet.create();
	const routes = [streamRoute(resumable)];
	fleet.configure({routes});
	const promptMilliseconds = phase === 'mid-stream' ? 0 : 700;
	const workers = await Promise.all([1, 2].map(async index => fleet.startWorker({
		id: `scribe-${index}`, service: 'scribe', ...stream, promptMilliseconds,
	})));
	const gateway = await fleet.startGateway('gateway-1');
	const answering = Array.from({length: streamCount}, async (_unused, index) => fleet.draft(gateway, {
		deadlineMilliseconds: 15_000, headers: {'x-azuretack-prompt-prefix': `a1:200,b${index}:7800`},
	}));
	await fleet.until(() => workers.reduce((sum, {runs}) => sum + runs.length, 0) >= streamCount, 'all streams run');
	await delay(400);
	for (const worker of suspended === 'both' ? workers : workers.slice(0, 1)) {
		worker.suspension.start(milliseconds);
	}

	await changes[change]!(fleet, gateway, routes);
	for (const answer of await Promise.all(answering)) {
		assert.deepEqual(eventsOf(answer.body), expectedEvents(stream.events));
		assert.ok(answer.whole);
	}

	return workers;
}

// A gateway closed streams, or sent them to a second engine, for a silence after which a sound engine goes on.
for (const milliseconds of suspensions) {
	for (const resumable of [false, true]) {
		for (const suspended of ['one of two', 'both'] as const) {
			for (const phase of ['mid-stream', 'before the first event'] as const) {
				test(`streams that may ${resumable ? '' : 'not '}be resumed stay whole and run once while ${suspended} of their engines is suspended for ${milliseconds} ms ${phase}`, async () => {
					const workers = await playSuspension({
						resumable, suspended, phase, milliseconds, change: 'no change',
					});
					assert.equal(workers.reduce((sum, {runs}) => sum + runs.length, 0), streamCount);
				});
			}
		}
	}
}

for (const change of Object.keys(changes).slice(1)) {
	for (const resumable of [false, true]) {
		test(`streams that may ${resumable ? '' : 'not '}be resumed stay whole while both engines are suspended beside ${change}`, async () => {
			await playSuspension({
				resumable, suspended: 'both', phase: 'mid-stream', milliseconds: 1500, change,
			});
		});
	}
}

test('calls that may run once are answered although their endpoints are suspended meanwhile, and run once', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({
		routes: [{
			name: 'deposit', host: routeHost, prefix: '/deposits/', kind: 'non_idempotent', timeoutMs: 4000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 1,
		}],
	});
	const workers = await Promise.all([1, 2].map(async index => fleet.startWorker({id: `desk-${index}`, service: 'desk', callMilliseconds: 300})));
	const gateway = await fleet.startGateway('gateway-1');
	const answering = Array.from({length: 20}, async (_unused, index) => fleet.call(gateway, {path: `/deposits/${index}`, method: 'POST'}));
	await fleet.until(() => workers.some(({runs}) => runs.length > 0), 'some calls run');
	for (const worker of workers) {
		worker.suspension.start(1500);
	}

	const answers = await Promise.all(answering);
	assert.deepEqual(answers.map(({status}) => status), answers.map(() => 200));
	assert.equal(workers.reduce((sum, {runs}) => sum + runs.length, 0), 20);
});
