import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {
	GatewayFleet, eventsOf, rawRequest, routeHost, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {rawHead} from '../testing/stand-ins/raw-worker.ts';

type Line = {message: string; request?: string; outcome?: string; reason?: string; begun?: boolean};

const longCalls = {
	name: 'deposit', host: routeHost, prefix: '/deposits/', kind: 'non_idempotent', timeoutMs: 30_000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 1,
};

const singleDrafts = {
	name: 'draft', host: routeHost, prefix: '/drafts/', kind: 'stream', timeoutMs: 10_000, targetLatencyMs: 1000, priority: 1, service: 'scribe', maxAttempts: 1, resumable: true, gapAimMs: 700,
};

/** Time of a call that doesn't end within a test, in milliseconds. */
const endlessMilliseconds = 20_000;

/** A gateway with workers whose answers take longer than a test. */
async function startSlowFleet(stopSeconds = 12) {
	const fleet = await GatewayFleet.create();
	fleet.configure({routes: [longCalls, singleDrafts]});
	const desk = await fleet.startWorker({id: 'desk-1', service: 'desk', callMilliseconds: endlessMilliseconds});
	const scribe = await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', events: 1000, eventMilliseconds: 100,
	});
	const gateway = await fleet.startGateway('gateway-1', {stopSeconds});
	return {
		fleet, desk, scribe, gateway,
	};
}

/** The bytes of a request that may take longer than a test. */
function longRequest(path: string, attempt: string): string {
	const tokenHeaders = path.startsWith('/drafts/') ? '\r\nX-Azuretack-Token-Counts: 8000,120\r\nX-Azuretack-Prompt-Prefix: a1:200' : '';
	return rawRequest({method: 'POST', path, attempt}).replace('Deadline-Ms: 3000', `Deadline-Ms: ${endlessMilliseconds}${tokenHeaders}`);
}

/** Opens a caller's connection. */
function openCaller({callers}: GatewayProcess) {
	const [hostname, port] = callers.split(':');
	const socket = connect(Number(port), hostname);
	const caller = {socket, text: ''};
	socket.on('error', () => undefined);
	socket.on('data', (data: Uint8Array) => {
		caller.text += new TextDecoder().decode(data);
	});
	return caller;
}

/** Whole lines that a gateway has logged on a request, by message. */
function linesOn(gateway: GatewayProcess, request: string): {closed: Line[]; ended: Line[]} {
	const lines = gateway.log.join('').split('\n').slice(0, -1).map(line => JSON.parse(line) as Line).filter(line => line.request === request);
	return {closed: lines.filter(({message}) => message === 'caller connection closed'), ended: lines.filter(({message}) => message === 'request ended')};
}

/** Waits for the lines on the end of a request and of its connection, and returns what they say. */
async function endOf(fleet: GatewayFleet, gateway: GatewayProcess, request: string) {
	await fleet.until(() => linesOn(gateway, request).ended.length > 0, `${request} has ended`);
	const {closed, ended} = linesOn(gateway, request);
	return {outcome: ended[0]!.outcome, closed: closed.map(({reason, begun}) => ({reason, begun}))};
}

async function countOf(fleet: GatewayFleet, gateway: GatewayProcess, reason: string): Promise<number> {
	const {body} = await fleet.get(gateway.metrics, '/metrics');
	return Number(body.split(`azuretack_gateway_closed_connections_total{reason="${reason}"} `)[1]?.split('\n')[0] ?? 0);
}

const departures: Record<string, (socket: Socket) => void> = {
	'closes its connection'(socket) {
		socket.destroy();
	},
	'closes its end of its connection after a whole request'(socket) {
		socket.end();
	},
	'resets its connection'(socket) {
		socket.resetAndDestroy();
	},
};

for (const [departure, leave] of Object.entries(departures)) {
	test(`a request whose caller ${departure} ends as left by the caller`, async () => {
		const {fleet, desk, gateway} = await startSlowFleet();
		await using _fleet = fleet;
		const {socket} = openCaller(gateway);
		socket.write(longRequest('/deposits/1', 'leaves'));
		await fleet.until(() => desk.runs.length > 0, 'the request runs');
		leave(socket);
		assert.deepEqual(await endOf(fleet, gateway, 'leaves'), {outcome: 'caller_left', closed: [{reason: 'caller', begun: false}]});
		assert.equal(await countOf(fleet, gateway, 'caller'), 1);
	});
}

// A request whose response waited behind another one went on until its end, as only the response that is sent learned of the close.
test('requests that were sent one behind the other all end as left by their caller', async () => {
	const {fleet, desk, scribe, gateway} = await startSlowFleet();
	await using _fleet = fleet;
	const {socket} = openCaller(gateway);
	socket.write(longRequest('/deposits/1', 'first'));
	socket.write(longRequest('/drafts/1', 'second'));
	await fleet.until(() => desk.runs.length + scribe.runs.length === 2, 'both requests run');
	socket.destroy();
	assert.deepEqual(await endOf(fleet, gateway, 'first'), {outcome: 'caller_left', closed: [{reason: 'caller', begun: false}]});
	const second = await endOf(fleet, gateway, 'second');
	assert.deepEqual([second.outcome, second.closed.map(({reason}) => reason)], ['caller_left', ['caller']]);
	await fleet.until(() => scribe.runs[0]!.endedAt !== undefined, 'the engine is left');
	assert.equal(await countOf(fleet, gateway, 'caller'), 1);
});

/** What follows a request on its connection, and the status with which it is refused. */
const followers: Record<string, {bytes: string; status: string}> = {
	'a byte that is no request': {bytes: '@', status: '400 Bad Request'},
	'a head over the limit': {bytes: `GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(100_000)}\r\n\r\n`, status: '431 Request Header Fields Too Large'},
};

/** A gateway with workers whose answers take some tenths of a second. */
async function startFleet() {
	const fleet = await GatewayFleet.create();
	fleet.configure({routes: [longCalls, singleDrafts]});
	const desk = await fleet.startWorker({id: 'desk-1', service: 'desk', callMilliseconds: 400});
	await fleet.startWorker({
		id: 'scribe-1', service: 'scribe', events: 10, eventMilliseconds: 50,
	});
	const gateway = await fleet.startGateway('gateway-1');
	return {fleet, desk, gateway};
}

// The refusal of what followed took the place of the answer to a request that ran, and a stream was cut.
for (const [name, {bytes, status}] of Object.entries(followers)) {
	const refusal = `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`;

	test(`a request followed by ${name} gets its own answer, and what follows is refused behind it`, async () => {
		const {fleet, desk, gateway} = await startFleet();
		await using _fleet = fleet;
		const caller = openCaller(gateway);
		caller.socket.write(longRequest('/deposits/1', 'followed'));
		await fleet.until(() => desk.runs.length > 0, 'the request runs');
		const closed = once(caller.socket, 'close');
		caller.socket.write(bytes);
		await closed;
		assert.match(caller.text, /^HTTP\/1\.1 200 /v);
		assert.ok(caller.text.endsWith(refusal), caller.text);
		assert.equal(caller.text.split('HTTP/1.1 ').length, 3);
		assert.deepEqual(await endOf(fleet, gateway, 'followed'), {outcome: 'answered', closed: []});
		assert.equal(await countOf(fleet, gateway, 'invalid-request'), 1);
		assert.equal(await countOf(fleet, gateway, 'caller'), 0);
	});

	test(`a stream followed by ${name} is whole, and what follows is refused behind it`, async () => {
		const {fleet, gateway} = await startFleet();
		await using _fleet = fleet;
		const caller = openCaller(gateway);
		caller.socket.write(longRequest('/drafts/1', 'followed-stream'));
		await fleet.until(() => caller.text.includes('token 2'), 'the stream has begun');
		const closed = once(caller.socket, 'close');
		caller.socket.write(bytes);
		await closed;
		assert.ok(caller.text.includes('token 10'));
		assert.ok(caller.text.endsWith(`0\r\n\r\n${refusal}`), caller.text);
		assert.equal(caller.text.split('HTTP/1.1 ').length, 3);
		assert.deepEqual(await endOf(fleet, gateway, 'followed-stream'), {outcome: 'answered', closed: []});
	});
}

test('a stream that can\'t be completed ends as broken off by the gateway', async () => {
	await using fleet = await GatewayFleet.create();
	fleet.configure({routes: [singleDrafts]});
	await fleet.startRawWorker({
		id: 'scribe-1',
		service: 'scribe',
		answer({attempt, socket}) {
			socket.write(`${rawHead(attempt)}Content-Type: text/event-stream\r\nContent-Length: 5000\r\n\r\nid: 1\ndata: token 1\n\n`);
			setTimeout(() => {
				socket.destroy();
			}, 100);
		},
	});
	const gateway = await fleet.startGateway('gateway-1');
	const answer = await fleet.draft(gateway, {attempt: 'broken'});
	assert.ok(!answer.whole);
	assert.deepEqual(eventsOf(answer.body), ['token 1']);
	assert.deepEqual(await endOf(fleet, gateway, 'broken'), {outcome: 'broken_off', closed: [{reason: 'broken-off', begun: true}]});
	assert.equal(await countOf(fleet, gateway, 'broken-off'), 1);
	assert.equal(await countOf(fleet, gateway, 'caller'), 0);
});

// A stream that was cut at the end of a planned stop left no line, and looked as if its caller had left.
test('a stream that is in progress at the end of a planned stop ends as stopped, and a call without a response gets one', async () => {
	const {fleet, desk, gateway} = await startSlowFleet(2);
	await using _fleet = fleet;
	const stream = openCaller(gateway);
	stream.socket.write(longRequest('/drafts/1', 'cut'));
	const call = openCaller(gateway);
	call.socket.write(longRequest('/deposits/1', 'unanswered'));
	await fleet.until(() => stream.text.includes('token 2') && desk.runs.length > 0, 'both run');
	const exited = once(gateway.child, 'close');
	gateway.child.kill('SIGTERM');
	await exited;
	assert.match(call.text, /^HTTP\/1\.1 502 /v);
	assert.deepEqual(linesOn(gateway, 'unanswered').closed, []);
	assert.deepEqual(await endOf(fleet, gateway, 'cut'), {outcome: 'stopped', closed: [{reason: 'stopped', begun: true}]});
});
