import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet, rawRequest, workspaceKey} from '../testing/gateway-fleet.ts';
import {RawCaller} from '../testing/raw-caller.ts';

/** Time within which an answer has to come, in milliseconds. */
const answerMilliseconds = 2000;

const sizes = [800, 200_000, 5_000_000];

/** Requests that are refused: the status of the refusal, and the sizes of the body in bytes. */
const refused = [
	{
		code: 401, path: '/deposits/1', key: 'another', bodyLengths: sizes,
	},
	{
		code: 404, path: '/nowhere', key: workspaceKey, bodyLengths: sizes,
	},
	{
		code: 413, path: '/deposits/1', key: workspaceKey, bodyLengths: sizes.slice(1),
	},
	{
		code: 503, path: '/empty/1', key: workspaceKey, bodyLengths: sizes.slice(0, 1),
	},
];

/** Each refusal with each size, at once and in pieces, without and with a wait for leave to send the body. */
const cases = refused.flatMap(({bodyLengths, ...refusal}) => bodyLengths.flatMap(bodyLength => [1, 10].flatMap(pieces => ['', 'Expect: 100-continue\r\n'].map(expectation => ({
	...refusal, bodyLength, pieces, expectation,
})))));

const empty = {
	name: 'empty', host: 'desk.example', prefix: '/empty/', kind: 'non_idempotent', timeoutMs: 800, targetLatencyMs: 120, priority: 2, service: 'nobody', maxAttempts: 1,
};
const status = {
	name: 'status', host: 'desk.example', prefix: '/status/', kind: 'idempotent', timeoutMs: 2000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 2,
};
const deposit = {
	...status, name: 'deposit', prefix: '/deposits/', kind: 'non_idempotent', maxAttempts: 1,
};

async function startFleet(): Promise<GatewayFleet> {
	const fleet = await GatewayFleet.create();
	fleet.configure({routes: [empty, status, deposit]});
	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	await fleet.startGateway('gateway-1');
	return fleet;
}

// After a refusal of a body that was too large, the next whole request on the connection got neither an answer nor a refusal.
test('a request whose body still arrives gets its refusal, and the next one on the same connection is answered', async () => {
	await using fleet = await startFleet();
	const {callers} = fleet.gateways.get('gateway-1')!;
	const failures: string[] = [];
	for (const {code, path, key, bodyLength, pieces, expectation} of cases) {
		await using caller = await RawCaller.connect(callers);
		const head = rawRequest({
			method: 'POST', path, attempt: 'first', bodyLength,
		});
		caller.write(head.replace(workspaceKey, key).replace('\r\n\r\n', `\r\n${expectation}\r\n`));
		await caller.writePieces('x'.repeat(bodyLength), pieces, 5);
		await caller.answers(1, answerMilliseconds);
		caller.write(rawRequest({method: 'GET', path: '/status/1', attempt: 'second'}));
		const answers = await caller.answers(2, answerMilliseconds);
		const seen = answers.map(answer => answer.status).join(' ');
		if (seen !== `${code} 200`) {
			failures.push(`${code}, ${bodyLength} bytes in ${pieces}, ${expectation.trim()}: "${seen}"`);
		}
	}

	assert.deepEqual(failures, []);
});

test('requests without a body length, of HTTP/1.0, with Connection: close and in absolute form get an answer', async () => {
	await using fleet = await startFleet();
	const {callers} = fleet.gateways.get('gateway-1')!;
	const headers = `Host: desk.example\r\nAuthorization: Token ${workspaceKey}\r\nX-Azuretack-Attempt-Id: attempt\r\n`;
	for (const [request, expected] of [
		[`POST /deposits/1 HTTP/1.1\r\n${headers}\r\n`, 200],
		[`POST /deposits/1 HTTP/1.0\r\n${headers}\r\n`, 200],
		[`GET /status/1 HTTP/1.0\r\n${headers}\r\n`, 200],
		[`GET /status/1 HTTP/1.1\r\n${headers}Connection: close\r\n\r\n`, 200],
		[`GET http://desk.example/status/1 HTTP/1.1\r\n${headers}\r\n`, 404],
	] as const) {
		await using caller = await RawCaller.connect(callers);
		caller.write(request);
		const answers = await caller.answers(1, answerMilliseconds);
		assert.deepEqual(answers.map(answer => answer.status), [expected], request);
	}
});

// The connection was reset by the unread rest of the body, and the refusal was lost.
test('a refusal of a body that still arrives reaches a caller that wants its connection closed and reads only after it has sent', async () => {
	await using fleet = await startFleet();
	const [hostname, port] = fleet.gateways.get('gateway-1')!.callers.split(':');
	for (let round = 0; round < 5; round += 1) {
		const socket = connect(Number(port), hostname);
		let received = '';
		socket.on('error', () => undefined).pause();
		const head = rawRequest({
			method: 'POST', path: '/nowhere', attempt: 'closing', bodyLength: 3_000_000,
		});
		const closed = once(socket, 'close');
		socket.write(head.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
		for (let piece = 0; piece < 30; piece += 1) {
			socket.write('x'.repeat(100_000));
			await delay(5);
		}

		socket.on('data', (data: Uint8Array) => {
			received += new TextDecoder().decode(data);
		});
		socket.resume();
		await closed;
		assert.match(received, /^HTTP\/1\.1 404 /v, `round ${round}`);
	}
});
