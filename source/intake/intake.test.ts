import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, request as startRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {
	BodyAccount, ConnectionGuard, intakeLimits, readRequestBody,
} from './mod.ts';

const limits = {smallBodyBytes: 100, allSmallBytes: 1000, allLargeBytes: 10_000};

test('with a crowd of large bodies that stop short of their end, a body that still arrives is read, and small ones too', () => {
	const account = new BodyAccount(limits);
	const left: number[] = [];
	for (let caller = 0; caller < 20; caller += 1) {
		const body = account.open(0, () => {
			left.push(caller);
		});
		body.resize(4000, caller);
	}

	assert.equal(left.length, 0);
	const arriving = account.open(2000, () => {
		left.push(-1);
	});
	assert.ok(arriving.resize(4000, 2000));
	assert.ok(arriving.resize(4000, 2001));
	assert.deepEqual(left, [0]);
	assert.ok(account.open(2001, () => undefined).resize(100, 2001));
});

test('with a crowd of small bodies that arrive slowly, those of ordinary callers are read', () => {
	const account = new BodyAccount(limits);
	for (let caller = 0; caller < 30; caller += 1) {
		account.open(0, () => undefined).resize(100, 0);
	}

	for (let caller = 0; caller < 30; caller += 1) {
		const ordinary = account.open(1, () => undefined);
		assert.ok(ordinary.resize(20, 1));
		ordinary.complete();
	}
});

test('complete bodies, which are forwarded, do not give way, and a further one is refused', () => {
	const account = new BodyAccount(limits);
	const held = [1, 2].map(() => account.open(0, () => {
		assert.fail('a complete body gave way');
	}));
	for (const body of held) {
		assert.ok(body.resize(5000, 0));
		body.complete();
	}

	const further = account.open(5000, () => undefined);
	assert.ok(!further.resize(200, 5000));
	held[0]!.release();
	assert.ok(account.open(5001, () => undefined).resize(200, 5001));
});

test('whatever bodies come, grow, end and leave, no more is held than the limits allow', () => {
	const step = fc.record({body: fc.nat({max: 30}), bytes: fc.nat({max: 5000}), action: fc.constantFrom('grow', 'grow', 'complete', 'release')});
	fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
		const account = new BodyAccount(limits);
		const bodies = Array.from({length: 31}, () => account.open(0, () => undefined));
		for (const [now, {body, bytes, action}] of steps.entries()) {
			if (action === 'grow') {
				bodies[body]!.resize(Math.max(bytes, bodies[body]!.bytes), now * 100);
			} else {
				bodies[body]![action]();
			}

			assert.ok(account.totalBytes <= limits.allSmallBytes + limits.allLargeBytes);
		}
	}));
});

// The room of a body was given to others as soon as its request had closed, which it does once it is read.
test('a body that was read is held until it is released', async () => {
	const account = new BodyAccount(limits);
	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const read = await readRequestBody(request, {
			account, maximumBytes: 5000, pauseMilliseconds: 1000, until: performance.now() + 5000, clock: () => performance.now(),
		});
		const body = read._unsafeUnwrap();
		await delay(20);
		response.end(`${account.totalBytes} of ${body.bytes.length}`);
		body.held.release();
	};

	const server = createServer((request, response) => {
		void serve(request, response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const request = startRequest({port: (server.address() as AddressInfo).port, method: 'POST'});
	request.end(Buffer.alloc(4000));
	const [response] = await once(request, 'response') as [IncomingMessage];
	assert.equal(await text(response), '4000 of 4000');
	assert.equal(account.totalBytes, 0);
	server.close();
	server.closeAllConnections();
});

const sweepLimits = {
	headMilliseconds: 3000, headBytes: 16_384, idleMilliseconds: 15_000, bodyBytes: 100_000,
};

test('with more silent connections than allowed, those of callers that are served or have been served stay open', () => {
	const guard = new ConnectionGuard<string>({connections: 10, requestsPerConnection: 2, requests: 100});
	guard.open('served', () => 0, 0);
	guard.startRequest('served', 0);
	guard.startReading('served', 0);
	guard.stopReading('served');
	guard.open('between requests', () => 0, 0);
	guard.startRequest('between requests', 0);
	guard.endRequest('between requests', true, 1);
	const closed: string[] = [];
	for (let silent = 0; silent < 100; silent += 1) {
		const victim = guard.open(`silent ${silent}`, () => 0, silent + 2);
		if (victim) {
			closed.push(victim);
			guard.close(victim);
		}
	}

	assert.equal(guard.size, 10);
	assert.ok(closed.every(key => key.startsWith('silent')));
});

test('a connection is closed for bytes without a request, a late head, no request at all, or a refused body without an end, and not before', () => {
	const guard = new ConnectionGuard<string>({connections: 10, requestsPerConnection: 2, requests: 100});
	const received: Record<string, number> = {
		'empty lines': 100_000, 'half a head': 100, silent: 0, dropping: 0, sound: 0,
	};
	for (const key of Object.keys(received)) {
		guard.open(key, () => received[key]!, 0);
	}

	for (const key of ['dropping', 'sound']) {
		guard.startRequest(key, 0);
	}

	guard.startReading('dropping', 0);
	guard.startDropping('dropping', 0);
	assert.deepEqual(guard.sweep(sweepLimits, 100), [{key: 'empty lines', reason: 'too-large'}]);
	received.dropping = 20_000_000;
	assert.deepEqual(guard.sweep(sweepLimits, 4200).map(({key}) => key), ['empty lines', 'half a head', 'dropping']);
	assert.deepEqual(guard.sweep(sweepLimits, 16_100).map(({key}) => key), ['empty lines', 'half a head', 'silent', 'dropping']);
});

test('when there are too many connections, a request that waits to be admitted and a body that arrives stay, and an idle one or a stalled body goes', () => {
	const guard = new ConnectionGuard<string>({connections: 3, requestsPerConnection: 2, requests: 100});
	const received: Record<string, number> = {waiting: 100, arriving: 100, stalled: 100};
	for (const key of Object.keys(received)) {
		guard.open(key, () => received[key]!, 0);
		guard.startRequest(key, 0);
	}

	guard.startReading('arriving', 0);
	guard.startReading('stalled', 0);
	received.arriving = 5000;
	guard.sweep(sweepLimits, 1500);
	assert.equal(guard.open('new', () => 0, 1600), 'stalled');
	assert.equal(guard.open('newer', () => 0, 1601), 'new');
});

test('the rest of a refused body stays bounded when another request of its connection ends', () => {
	const guard = new ConnectionGuard<string>({connections: 3, requestsPerConnection: 2, requests: 100});
	let received = 0;
	guard.open('caller', () => received, 0);
	guard.startRequest('caller', 0);
	guard.startRequest('caller', 0);
	guard.startReading('caller', 0);
	guard.startDropping('caller', 0);
	guard.endRequest('caller', true, 1);
	received = 20_000_000;
	assert.deepEqual(guard.sweep(sweepLimits, 500), [{key: 'caller', reason: 'too-large'}]);
});

test('a caller that does not wait for responses may have so many requests in progress on a connection', () => {
	const guard = new ConnectionGuard<string>({connections: 10, requestsPerConnection: 2, requests: 100});
	guard.open('caller', () => 0, 0);
	assert.deepEqual([1, 2, 3].map(() => guard.startRequest('caller', 0)), [true, true, false]);
});

test('no more requests may be in progress on all connections than the limit, also on many connections', () => {
	const guard = new ConnectionGuard<number>({connections: 100, requestsPerConnection: 10, requests: 20});
	for (let caller = 0; caller < 21; caller += 1) {
		guard.open(caller, () => 0, 0);
		assert.ok(!guard.hasTooManyRequests);
		guard.startRequest(caller, 0);
	}

	assert.ok(guard.hasTooManyRequests);
	guard.releaseRequest();
	assert.ok(!guard.hasTooManyRequests);
});

test('the smallest host has room for a body of the largest size and for several hundred callers', () => {
	const {allLargeBytes, connections} = intakeLimits({memoryMegabytes: 186, descriptors: 2048});
	assert.ok(allLargeBytes > 2 * 4_194_304);
	assert.ok(connections > 500);
});
