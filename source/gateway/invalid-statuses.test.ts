import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet, type CallerRequest} from '../testing/gateway-fleet.ts';
import {rawBody, rawHead, type RawRequest} from '../testing/stand-ins/raw-worker.ts';

/** Statuses that no response may have. */
const statuses = ['000', '001', '099', '600', '999'];

const requests: Array<[string, string, CallerRequest]> = [
	['a call that may be repeated', 'desk', {path: '/status/1'}],
	['a call to be run once', 'desk', {path: '/deposits/1', method: 'POST', body: 'once'}],
	['a stream', 'scribe', {
		path: '/drafts/1', method: 'POST', body: 'notes', headers: {'x-azuretack-token-counts': '80,12'},
	}],
];

const refusal = 'HTTP/1.1 503 Service Unavailable\r\nX-Azuretack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n';

/** A whole answer with a status. */
function answerWith(status: string): (request: RawRequest) => void {
	return ({attempt, socket}) => {
		const body = rawBody(attempt);
		socket.write(`${rawHead(attempt, `${status} Odd`)}Content-Length: ${body.length}\r\n\r\n${body}`);
	};
}

// An answer with the status 000 made the gateway throw: its caller was told of a fault of the gateway, and the endpoint counted as sound.
for (const status of statuses) {
	for (const [name, service, request] of requests) {
		test(`the status ${status} to ${name} counts as a broken answer of the endpoint, and does not reach the caller`, async () => {
			await using fleet = await GatewayFleet.create();
			await fleet.startRawWorker({id: `${service}-1`, service, answer: answerWith(status)});
			const gateway = await fleet.startGateway('gateway-1');
			const answer = await fleet.call(gateway, {...request, deadlineMilliseconds: 2000});
			assert.equal(answer.status, 502);
			assert.ok(answer.body.includes(`invalid status ${Number(status)}`), answer.body);
			assert.ok(!gateway.log.join('').includes('request failed'));
		});
	}
}

for (const [name, service, request] of requests) {
	test(`the status 000 to ${name} counts as a broken answer also when an endpoint has refused before`, async () => {
		let asked = 0;
		const answer = (raw: RawRequest) => {
			asked += 1;
			if (asked === 1) {
				raw.socket.write(refusal);
			} else {
				answerWith('000')(raw);
			}
		};

		await using fleet = await GatewayFleet.create();
		await fleet.startRawWorker({id: `${service}-1`, service, answer});
		await fleet.startRawWorker({id: `${service}-2`, service, answer});
		const gateway = await fleet.startGateway('gateway-1');
		const {status} = await fleet.call(gateway, {...request, deadlineMilliseconds: 2000});
		assert.equal(status, 502);
		// A stream waits for the endpoint that refused it, and is answered there in the same way.
		assert.equal(asked, service === 'scribe' ? 3 : 2);
	});

	test(`a second status line after the head to ${name} does not reach the caller as an answer of its own`, async () => {
		await using fleet = await GatewayFleet.create();
		await fleet.startRawWorker({
			id: `${service}-1`,
			service,
			answer({attempt, socket}) {
				socket.write(`HTTP/1.1 200 OK\r\n${rawHead(attempt)}Content-Length: 2\r\n\r\nok`);
			},
		});
		const gateway = await fleet.startGateway('gateway-1');
		const {status} = await fleet.call(gateway, {...request, deadlineMilliseconds: 2000});
		assert.equal(status, 502);
	});
}
