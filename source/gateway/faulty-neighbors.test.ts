import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {GatewayFleet, eventsOf, expectedEvents} from '../testing/gateway-fleet.ts';
import {rawAnswer, type RawRequest} from '../testing/stand-ins/raw-worker.ts';

/** Levels of nesting that fit into one row. */
const nestingLevels = 30_000;

/** Entries that another writer may leave among those of the endpoints, as the text of a row. */
const oddEntries: Record<string, string> = {
	nested: `{"service":${'['.repeat(nestingLevels)}${']'.repeat(nestingLevels)}}`,
	'nested elsewhere': `{"service":"desk","address":"127.0.0.1:1","zone":"a","slots":1,"state":"ready","more":${'{"a":'.repeat(9000)}1${'}'.repeat(9000)}}`,
	'number too large': '{"service":"desk","address":"127.0.0.1:9","zone":"a","slots":1e400,"state":"ready","born":1e400}',
	'port out of range': '{"service":"desk","address":"127.0.0.1:99999","zone":"a","slots":8,"state":"ready"}',
	'port zero': '{"service":"desk","address":"127.0.0.1:0","zone":"a","slots":8,"state":"ready"}',
	'no address': '{"service":"desk","address":"999.0.0.1:80","zone":"a","slots":8,"state":"ready"}',
	nulls: '{"service":null,"address":null,"zone":null,"slots":null,"state":null,"born":null}',
	'repeated keys': '{"service":"desk","service":7,"address":"127.0.0.1:1","zone":"a","slots":1,"state":"ready"}',
	'no JSON': '\u0000\uFFFD{',
};

test('gateways that pass entries on to each other skip odd ones, follow the others, and do not end', async () => {
	await using fleet = await GatewayFleet.create();
	const gateways = await Promise.all(['gateway-1', 'gateway-2', 'gateway-3'].map(async name => fleet.startGateway(name)));
	for (const [name, entry] of Object.entries(oddEntries)) {
		fleet.store.put('servers', name, entry);
	}

	await fleet.startWorker({id: 'desk-1', service: 'desk'});
	await fleet.until(async () => {
		const answers = await Promise.all(gateways.map(async gateway => fleet.call(gateway, {path: '/status/1'})));
		return answers.every(({status}) => status === 200);
	}, 'all gateways use the new endpoint');
	for (let number = 0; number < 10; number += 1) {
		const answers = await Promise.all(gateways.map(async gateway => fleet.call(gateway, {path: `/deposits/${number}`, method: 'POST', body: 'x'})));
		assert.deepEqual(answers.map(({status}) => status), [200, 200, 200]);
	}

	assert.ok(gateways.every(({child}) => child.exitCode === null));
});

/** A refusal, with or without the id of its attempt. */
function refusal(attempt: string | undefined): string {
	const id = attempt === undefined ? '' : `X-Azuretack-Attempt-Id: ${attempt}\r\n`;
	return `HTTP/1.1 503 Service Unavailable\r\n${id}X-Azuretack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

for (const hasId of [true, false]) {
	test(`a refusal that is written once more ${hasId ? 'with' : 'without'} its id does not pass a request off as not run`, async () => {
		const ran = new Map<string, string[]>();
		const earlier = new WeakMap<Socket, string[]>();
		let repeats = 0;
		const answerOf = (worker: string) => ({attempt, socket}: RawRequest) => {
			const attempts = [...earlier.get(socket) ?? [], attempt];
			earlier.set(socket, attempts);
			if (attempts.length % 3 === 2) {
				socket.write(refusal(attempt));
				return;
			}

			ran.set(attempt, [...ran.get(attempt) ?? [], worker]);
			if (attempts.length % 3 === 0) {
				repeats += 1;
				socket.write(refusal(hasId ? attempts.at(-2) : undefined));
			}

			setTimeout(() => {
				socket.write(rawAnswer(attempt));
			}, 5);
		};

		await using fleet = await GatewayFleet.create();
		for (const id of ['desk-1', 'desk-2', 'desk-3']) {
			await fleet.startRawWorker({id, service: 'desk', answer: answerOf(id)});
		}

		const gateway = await fleet.startGateway('gateway-1');
		for (let number = 0; number < 80; number += 1) {
			for (const kind of ['deposits', 'status']) {
				const attempt = `${kind}-${number}`;
				const {status} = await fleet.call(gateway, {
					path: `/${kind}/${number}`, method: 'POST', body: 'x', attempt,
				});
				const workers = ran.get(attempt) ?? [];
				assert.ok(kind === 'status' || workers.length <= 1, `${attempt} ran at ${workers.join(' and ')}`);
				assert.ok(workers.length === 0 || status !== 503, `${attempt} ran, and its caller was told that it did not`);
			}
		}

		assert.ok(repeats > 0);
	});
}

for (const fault of ['error', 'full'] as const) {
	test(`the text of an error does not reach a stream that has begun, when the next engine answers ${fault === 'error' ? 'with a failure' : 'that it is full'}`, async () => {
		await using fleet = await GatewayFleet.create();
		const first = await fleet.startWorker({id: 'scribe-1', service: 'scribe'});
		const gateway = await fleet.startGateway('gateway-1');
		await fleet.until(async () => {
			const {status} = await fleet.draft(gateway);
			return status === 200;
		}, 'the first engine is used');
		first.fault = 'break';
		const answering = fleet.draft(gateway);
		for (const id of ['scribe-2', 'scribe-3']) {
			const next = await fleet.startWorker({id, service: 'scribe'});
			next.fault = fault;
		}

		const {body, whole} = await answering;
		const events = eventsOf(body);
		assert.deepEqual(events, expectedEvents(events.length));
		assert.equal(whole, false);
	});
}
