import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {GatewayFleet, rawRequest, type GatewayProcess} from '../testing/gateway-fleet.ts';
import {RawCaller} from '../testing/raw-caller.ts';

/** Time from the first request to the stop signal, in milliseconds: all answers are written by then, as far as the caller reads them. */
const writeMilliseconds = 1000;

/** Time from the stop signal until a slow caller reads on, in milliseconds: later than the gateway takes new requests, and within the stop. */
const pauseMilliseconds = 4500;

const stopSeconds = 12;

const route = {
	name: 'status', host: 'desk.example', prefix: '/status/', kind: 'idempotent', timeoutMs: 20_000, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 2,
};

async function startFleet(answerBytes: number): Promise<{fleet: GatewayFleet; gateway: GatewayProcess}> {
	const fleet = await GatewayFleet.create();
	fleet.configure({routes: [route]});
	await fleet.startWorker({id: 'desk-1', service: 'desk', answerOf: () => 'a'.repeat(answerBytes)});
	return {fleet, gateway: await fleet.startGateway('gateway-1', {stopSeconds})};
}

/** Answers: their size in bytes, and how many are asked for on one connection at once. */
const answersBySize = {
	'200 KB': {answerBytes: 200_000, count: 60},
	'16 MB': {answerBytes: 16_000_000, count: 1},
};

// A gateway that stopped counted answers as done that were written and not delivered, and closed their connections.
for (const [size, {answerBytes, count}] of Object.entries(answersBySize)) {
	test(`${count} answers of ${size} arrive whole although their caller pauses during a planned stop`, async () => {
		const {fleet, gateway} = await startFleet(answerBytes);
		await using _fleet = fleet;
		await using caller = await RawCaller.connect(gateway.callers);
		caller.pause();
		for (let index = 0; index < count; index += 1) {
			caller.write(rawRequest({method: 'GET', path: `/status/${index}`, attempt: `attempt-${index}`}).replace('Ms: 3000', 'Ms: 20000'));
		}

		await delay(writeMilliseconds);
		gateway.child.kill('SIGTERM');
		const exited = once(gateway.child, 'exit');
		await delay(pauseMilliseconds);
		caller.resume();
		const answers = await caller.answers(count, 3000);
		assert.equal(answers.length, count);
		assert.ok(answers.every(({status, body}) => status === 200 && body.length === answerBytes));
		await exited;
	});
}
