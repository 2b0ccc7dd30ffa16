import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	GatewayFleet, eventsOf, expectedEvents, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {type WorkerStandIn} from '../testing/stand-ins/worker-stand-in.ts';

/** Sends generations until each engine has run one, so that the gateway knows both. */
async function untilBothRun(fleet: GatewayFleet, gateway: GatewayProcess, engines: WorkerStandIn[]): Promise<void> {
	let sent = 0;
	await fleet.until(async () => {
		sent += 1;
		await fleet.draft(gateway, {headers: {'x-azuretack-prompt-prefix': `${sent}:8000`}});
		return engines.every(({runs}) => runs.length > 0);
	}, 'both engines are known');
}

test('a call gets the answer of the endpoint, which receives the workspace name and not the key', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	const answer = await fleet.call(gateway, {
		path: '/deposits/17?x=%20y', method: 'POST', body: 'amount=3', headers: {'x-azuretack-tenant': 'forged', 'x-azuretack-hold': 'forged'},
	});
	assert.equal(answer.status, 200);
	assert.equal(answer.body, 'answer of desk-1');
	assert.equal(answer.headers['x-azuretack-server-stamp'], 'stamp-desk-1');
	const [run] = worker.runs;
	assert.equal(run?.body, 'amount=3');
	assert.equal(run.target, '/deposits/17?x=%20y');
	assert.equal(run.headers['x-azuretack-tenant'], 'workspace-1');
	assert.equal(run.headers['x-azuretack-hold'], undefined);
	assert.equal(run.headers.authorization, undefined);
	assert.ok(Number(run.headers['x-azuretack-deadline-ms']) <= 800);
});

test('unknown keys, unknown paths and oversized bodies are refused without reaching an endpoint', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	const unknownKey = await fleet.call(gateway, {path: '/status/1', key: 'other'});
	const unknownPath = await fleet.call(gateway, {path: '/nothing/1'});
	const large = await fleet.call(gateway, {path: '/deposits/1', method: 'POST', body: 'x'.repeat(100_001)});
	assert.deepEqual([unknownKey.status, unknownPath.status, large.status], [401, 404, 413]);
	assert.equal(worker.runs.length, 0);
});

test('an idempotent call is retried at another endpoint after a failure, and an at-most-once call is not', async () => {
	await using fleet = await GatewayFleet.create();
	const failing = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	for (const fault of ['break', 'reset', 'other-id'] as const) {
		failing.fault = fault;
		const before = failing.runs.length;
		const answer = await fleet.call(gateway, {path: '/deposits/1', method: 'POST'});
		assert.equal(answer.status, 502, fault);
		assert.equal(failing.runs.length, before + 1, fault);
	}

	const sound = await fleet.startWorker({id: 'desk-2', service: 'desk'});
	await fleet.until(async () => {
		const answer = await fleet.call(gateway, {path: '/status/1'});
		return answer.body === 'answer of desk-2';
	}, 'the second endpoint is known');
	for (const fault of ['break', 'reset', 'error', 'other-id'] as const) {
		failing.fault = fault;
		const answer = await fleet.call(gateway, {path: '/status/1'});
		assert.equal(answer.body, 'answer of desk-2', fault);
	}

	assert.ok(sound.runs.length >= 4);
});

test('a call that no endpoint ran is refused with 503 and a retry delay', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	worker.fault = 'full';
	const gateway = await fleet.startGateway('gateway-1');
	const answer = await fleet.call(gateway, {path: '/deposits/1', method: 'POST'});
	assert.equal(answer.status, 503);
	assert.ok(Number(answer.headers['retry-after']) > 0);
	assert.equal(worker.runs.length, 0);
});

test('extra bytes after a complete answer reach no other caller', async () => {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	worker.fault = 'extra';
	const gateway = await fleet.startGateway('gateway-1');
	for (let index = 0; index < 10; index += 1) {
		const answer = await fleet.call(gateway, {path: `/status/${index}`});
		assert.equal(answer.body, 'answer of desk-1');
	}
});

test('a generation resumes from its copy when its engine crashes, and each event is delivered once', async () => {
	await using fleet = await GatewayFleet.create();
	const engines = [await fleet.startWorker({id: 'scribe-1', service: 'scribe', events: 40}), await fleet.startWorker({id: 'scribe-2', service: 'scribe', events: 40})];
	const gateway = await fleet.startGateway('gateway-1');
	const answering = fleet.draft(gateway);
	await fleet.until(() => engines.some(({runs}) => runs.length > 0), 'the generation runs');
	await delay(150);
	engines.find(({runs}) => runs.length > 0)!.crash();
	const answer = await answering;
	assert.ok(answer.whole);
	assert.deepEqual(eventsOf(answer.body), expectedEvents(40));
	assert.equal(engines.reduce((sum, {promptsRead}) => sum + promptsRead, 0), 1);
	assert.equal(engines.reduce((sum, {goneOn}) => sum + goneOn, 0), 1);
});

test('a generation resumes from its copy although the engine that holds the copy has closed its idle connections', async () => {
	await using fleet = await GatewayFleet.create();
	const engines = [await fleet.startWorker({id: 'scribe-1', service: 'scribe'}), await fleet.startWorker({id: 'scribe-2', service: 'scribe', availabilityZone: 'zone-b'})];
	const gateway = await fleet.startGateway('gateway-1');
	for (const engine of engines) {
		engine.dropsUsedConnections = true;
	}

	const answering = fleet.draft(gateway);
	await fleet.until(() => engines.some(({runs}) => runs.length > 0), 'the generation runs');
	await delay(80);
	engines.find(({runs}) => runs.length > 0)!.crash();
	const answer = await answering;
	assert.deepEqual(eventsOf(answer.body), expectedEvents(20));
	assert.deepEqual(engines.map(({promptsRead}) => promptsRead).toSorted((left, right) => left - right), [0, 1]);
});

test('a generation resumes at another engine when its answer is cut off within an event or its events do not arrive', async () => {
	await using fleet = await GatewayFleet.create();
	const failing = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
	const gateway = await fleet.startGateway('gateway-1');
	const sound = await fleet.startWorker({id: 'scribe-2', service: 'scribe'});
	await untilBothRun(fleet, gateway, [failing, sound]);
	for (const fault of ['break', 'mute'] as const) {
		failing.fault = fault;
		for (let index = 0; index < 4; index += 1) {
			const answer = await fleet.draft(gateway, {headers: {'x-azuretack-prompt-prefix': `${index}:8000`}});
			assert.ok(answer.whole, fault);
			assert.deepEqual(eventsOf(answer.body), expectedEvents(20), fault);
		}
	}
});

test('a generation moves to another engine when its engine repeats events, and the caller gets each event once', async () => {
	await using fleet = await GatewayFleet.create();
	const repeating = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
	const gateway = await fleet.startGateway('gateway-1');
	const sound = await fleet.startWorker({id: 'scribe-2', service: 'scribe'});
	await untilBothRun(fleet, gateway, [repeating, sound]);
	repeating.fault = 'repeat';
	const before = repeating.runs.length;
	await fleet.until(async () => {
		const answer = await fleet.draft(gateway, {headers: {'x-azuretack-prompt-prefix': `${repeating.runs.length + sound.runs.length}:8000`}});
		assert.ok(answer.whole);
		assert.deepEqual(eventsOf(answer.body), expectedEvents(20));
		return repeating.runs.length > before;
	}, 'the repeating engine is used');
});

test('a generation is aborted at the engine when its caller disconnects', async () => {
	await using fleet = await GatewayFleet.create();
	const engine = await fleet.startWorker({id: 'scribe-1', service: 'scribe', events: 10_000});
	const gateway = await fleet.startGateway('gateway-1');
	const abortController = new AbortController();
	const answering = fleet.draft(gateway, {signal: abortController.signal});
	await fleet.until(() => engine.runs.length > 0, 'the generation runs');
	abortController.abort();
	await answering;
	await fleet.until(async () => {
		const report = await fleet.get(engine.options.listen, '/api/report');
		return report.body.includes('"runs":[]');
	}, 'the engine has stopped');
});

test('a revoked key is refused, also by a gateway that cannot reach the store', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	fleet.store.fault = 'silent';
	fleet.configure({version: 2, keys: ['key-2']});
	await delay(5000);
	const refused = await fleet.call(gateway, {path: '/status/1'});
	assert.equal(refused.status, 503);
	assert.ok(Number(refused.headers['retry-after']) > 0);
	fleet.store.fault = 'none';
	await fleet.until(async () => {
		const answer = await fleet.call(gateway, {path: '/status/1', key: 'key-2'});
		return answer.status === 200;
	}, 'the new key is served');
	const old = await fleet.call(gateway, {path: '/status/1'});
	assert.equal(old.status, 401);
});

test('a gateway that does not follow the store gets configuration updates from one that does', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const first = await fleet.startGateway('gateway-1');
	const second = await fleet.startGateway('gateway-2');
	await fleet.until(async () => {
		const entries = await fleet.get(first.entries, '/api/resolve?name=desk.example&region=home&zone=zone-a');
		return entries.body.includes(second.callers) && entries.body.includes(first.callers);
	}, 'both gateways know each other');
	await delay(2000);
	const calls = () => fleet.store.calls.get('/api/rows-feed') ?? 0;
	const before = calls();
	await delay(3000);
	assert.ok(calls() - before <= 9, `one gateway follows the store, not both (${calls() - before} calls in 3 s)`);
	fleet.configure({version: 2, keys: ['key-2']});
	await delay(2000);
	for (const gateway of [first, second]) {
		const old = await fleet.call(gateway, {path: '/status/1'});
		const current = await fleet.call(gateway, {path: '/status/1', key: 'key-2'});
		assert.deepEqual([old.status, current.status], [401, 200], gateway.name);
	}
});

test('an endpoint that is draining, or that was removed in a part of the history that the store dropped, gets no more requests', async () => {
	await using fleet = await GatewayFleet.create();
	const leaving = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const removed = await fleet.startWorker({id: 'desk-2', service: 'desk'});
	await fleet.startWorker({id: 'desk-3', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	fleet.store.put('servers', 'desk-1', leaving.entry('draining'));
	fleet.store.remove('servers', 'desk-2');
	fleet.store.dropHistory();
	fleet.store.put('servers', 'desk-4', 'not JSON');
	await delay(2000);
	const before = leaving.runs.length + removed.runs.length;
	for (let index = 0; index < 20; index += 1) {
		const answer = await fleet.call(gateway, {path: `/status/${index}`});
		assert.equal(answer.body, 'answer of desk-3');
	}

	assert.equal(leaving.runs.length + removed.runs.length, before);
});

test('a gateway without a configuration accepts no caller connections at first, and refuses requests with 503 after a timeout', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	fleet.store.fault = 'silent';
	const starting = fleet.startGateway('gateway-1');
	await fleet.until(() => fleet.gateways.has('gateway-1'), 'the process is started');
	const gateway = fleet.gateways.get('gateway-1')!;
	await fleet.until(async () => {
		const readiness = await fleet.get(gateway.readiness, '/api/ready');
		return readiness.status === 503;
	}, 'it reports that it is not ready');
	const early = await fleet.call(gateway, {path: '/status/1'});
	assert.equal(early.status, 0);
	await fleet.until(async () => {
		const answer = await fleet.call(gateway, {path: '/status/1'});
		return answer.status === 503 && Number(answer.headers['retry-after']) > 0;
	}, 'it refuses requests with 503');
	fleet.store.fault = 'none';
	await starting;
});

test('a graceful shutdown completes the requests in progress', async () => {
	await using fleet = await GatewayFleet.create();
	const engine = await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', events: 60, eventMilliseconds: 20,
	});
	const gateway = await fleet.startGateway('gateway-1');
	const answering = fleet.draft(gateway);
	await fleet.until(() => engine.runs.length > 0, 'the generation runs');
	gateway.child.kill('SIGTERM');
	const exited = once(gateway.child, 'exit');
	await delay(100);
	const readiness = await fleet.get(gateway.readiness, '/api/ready');
	assert.equal(readiness.status, 503);
	const answer = await answering;
	assert.ok(answer.whole);
	assert.deepEqual(eventsOf(answer.body), expectedEvents(60));
	const [code] = await exited as [number];
	assert.equal(code, 0);
});

test('a gateway keeps running after SIGHUP, and keeps its settings if the new ones are invalid', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	gateway.child.kill('SIGHUP');
	await fleet.until(() => gateway.log.join('').includes('settings read again'), 'the settings are read again');
	await fleet.breakSettings('gateway-1');
	gateway.child.kill('SIGHUP');
	await fleet.until(() => gateway.log.join('').includes('settings have faults'), 'the invalid settings are logged');
	const answer = await fleet.call(gateway, {path: '/status/1'});
	assert.equal(answer.status, 200);
	assert.equal(gateway.child.exitCode, null);
});

test('SIGHUP does not terminate a gateway that is starting', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.store.fault = 'silent';
	const starting = fleet.startGateway('gateway-1');
	await fleet.until(() => fleet.gateways.has('gateway-1'), 'the process is started');
	const {child, readiness, log} = fleet.gateways.get('gateway-1')!;
	await fleet.until(async () => {
		const answer = await fleet.get(readiness, '/api/ready');
		return answer.status === 503;
	}, 'it waits for its first configuration');
	child.kill('SIGHUP');
	await delay(200);
	assert.equal(child.signalCode, null);
	fleet.store.fault = 'none';
	await starting;
	await fleet.until(() => log.join('').includes('settings read again'), 'the settings are read again');
});

test('each request writes one log line with its outcome, and is counted in the metrics', async () => {
	await using fleet = await GatewayFleet.create();
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	await fleet.call(gateway, {path: '/status/1', attempt: 'attempt-to-find'});
	await fleet.until(() => gateway.log.join('').includes('attempt-to-find'), 'the line is written');
	const line = gateway.log.join('').split('\n').find(text => text.includes('attempt-to-find'))!;
	const fields = Object.keys(JSON.parse(line) as Record<string, unknown>);
	for (const name of ['request', 'outcome', 'status', 'endpoints', 'configuration', 'configurationAge']) {
		assert.ok(fields.includes(name), name);
	}

	const metrics = await fleet.get(gateway.metrics, '/metrics');
	assert.match(metrics.body, /azuretack_gateway_requests_total\{service="desk",outcome="answered"\} 1/v);
});
