import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type CallerAnswer} from '../testing/call.ts';
import {GatewayFleet, rawRequest, routeHost} from '../testing/gateway-fleet.ts';

/** Time from the stop signal within which a request may be sent and still be cut at the end of the stop, in milliseconds. */
const excusedMilliseconds = 3000;

/** A route whose requests may run for longer than a stop takes. */
const longCalls = {
	name: 'deposit', host: routeHost, prefix: '/deposits/', kind: 'non_idempotent', timeoutMs: 30_000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 1,
};

// Requests that came late in a stop were passed on, and cut without an answer at its end.
test('each request that is passed on during a planned stop gets an answer, and none that is sent late is passed on', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({routes: [longCalls]});
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk', callMilliseconds: 20_000});
	const gateway = await fleet.startGateway('gateway-1', {stopSeconds: 12});
	const agents = Array.from({length: 40}, () => new Agent({keepAlive: true, maxSockets: 1}));
	// Connections that are open when the stop begins: each caller has been answered once on its own.
	await Promise.all(agents.map(async (agent, index) => fleet.call(gateway, {path: '/nowhere', agent, attempt: `first-${index}`})));
	const stoppedAt = performance.now();
	gateway.child.kill('SIGTERM');
	const exited = once(gateway.child, 'exit');
	const answers = new Map<string, {sentAt: number; answer: CallerAnswer}>();
	await Promise.all(agents.map(async (agent, index) => {
		await delay(100 * index);
		const attempt = `late-${index}`;
		const sentAt = performance.now() - stoppedAt;
		const answer = await fleet.call(gateway, {
			path: '/deposits/1', method: 'POST', agent, attempt, deadlineMilliseconds: 25_000,
		});
		answers.set(attempt, {sentAt, answer});
	}));
	await exited;
	for (const agent of agents) {
		agent.destroy();
	}

	const passedOn = worker.runs.map(({attempt}) => attempt);
	assert.ok(passedOn.length > 0, 'some were passed on');
	for (const attempt of passedOn) {
		const {sentAt, answer} = answers.get(attempt)!;
		assert.ok(sentAt <= excusedMilliseconds, `${attempt} was sent ${Math.round(sentAt)} ms after the signal`);
		assert.equal(answer.status, 502, attempt);
		assert.ok(answer.whole, attempt);
	}
});

test('a request whose body arrives late in a planned stop is refused and not passed on', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({routes: [longCalls]});
	const worker = await fleet.startWorker({id: 'desk-1', service: 'desk'});
	const gateway = await fleet.startGateway('gateway-1', {stopSeconds: 4});
	const [hostname, port] = gateway.callers.split(':');
	const socket = connect(Number(port), hostname);
	let text = '';
	socket.on('data', (data: Uint8Array) => {
		text += new TextDecoder().decode(data);
	});
	const closed = once(socket, 'close');
	socket.write(`${rawRequest({
		method: 'POST', path: '/deposits/1', attempt: 'slow-body', bodyLength: 10,
	})}half `);
	await delay(100);
	gateway.child.kill('SIGTERM');
	await delay(1700);
	socket.write('body!');
	await closed;
	assert.match(text, /^HTTP\/1\.1 503 /v);
	assert.deepEqual(worker.arrivals, []);
});
