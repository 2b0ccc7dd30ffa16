import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	CallerMemory, HeadAccount, PeerGuard, intakeLimits, type CollectionKind,
} from './mod.ts';

const headLimits = {headBytesPerConnection: 1000, requestsReadAhead: 4, allHeadBytes: 5000};

const limits = intakeLimits({memoryMegabytes: 186, descriptors: 2048});

test('a connection whose heads take much memory is not read on until requests are answered', () => {
	const woken: string[] = [];
	const heads = new HeadAccount<string>(headLimits);
	heads.open('caller', () => {
		woken.push('caller');
	});
	assert.ok(heads.mayReadOn('caller'));
	heads.startRequest('caller', 600);
	assert.ok(heads.mayReadOn('caller'));
	heads.startRequest('caller', 600);
	assert.ok(!heads.mayReadOn('caller'));
	assert.deepEqual(woken, []);
	heads.endRequest('caller', 600);
	assert.deepEqual(woken, ['caller']);
	assert.ok(heads.mayReadOn('caller'));
	assert.equal(heads.totalBytes, 600);
});

test('many small requests on a connection wait too, and one of any size is read if no other is in progress', () => {
	const heads = new HeadAccount<string>(headLimits);
	heads.open('many', () => undefined);
	heads.open('large', () => undefined);
	for (let request = 0; request < headLimits.requestsReadAhead; request += 1) {
		assert.ok(heads.mayReadOn('many'));
		heads.startRequest('many', 10);
	}

	assert.ok(!heads.mayReadOn('many'));
	heads.startRequest('large', 4000);
	heads.endRequest('large', 4000);
	assert.ok(heads.mayReadOn('large'));
});

test('the body of a request is read whatever its head takes', () => {
	let woken = 0;
	const heads = new HeadAccount<string>(headLimits);
	heads.open('caller', () => {
		woken += 1;
	});
	heads.startRequest('caller', 2000);
	assert.ok(!heads.mayReadOn('caller'));
	heads.startBody('caller');
	assert.equal(woken, 1);
	assert.ok(heads.mayReadOn('caller') && !heads.isReadAhead('caller'));
	heads.endBody('caller');
	assert.ok(!heads.mayReadOn('caller') && heads.isReadAhead('caller'));
});

test('a crowd that sends requests without waiting takes no more for heads than allowed, and callers that wait for answers are read', () => {
	const heads = new HeadAccount<number>(headLimits);
	for (let caller = 0; caller < 100; caller += 1) {
		heads.open(caller, () => undefined);
		heads.startRequest(caller, 100);
	}

	assert.ok(!heads.mayReadOn(0));
	heads.open(100, () => undefined);
	assert.ok(heads.mayReadOn(100));
	for (let caller = 0; caller < 60; caller += 1) {
		heads.close(caller);
	}

	assert.ok(heads.mayReadOn(99));
});

test('when too much waits to be handled, the connection with most of it is closed', () => {
	const memory = new CallerMemory<string>(limits);
	memory.setUnread('little', 1000);
	memory.setUnread('most', limits.allUnreadBytes - 2000);
	assert.equal(memory.chooseVictim(), undefined);
	memory.setUnread('more', 1000);
	assert.equal(memory.chooseVictim(), 'most');
	memory.close('most');
	assert.equal(memory.chooseVictim(), undefined);
	assert.equal(memory.heldBytes.unread, 2000);
});

test('what was given up is collected before it takes much memory, bodies and what was held for long by a full collection', () => {
	const memory = new CallerMemory<string>(limits);
	memory.giveUp(limits.uncollectedBytes, 'minor');
	assert.equal(memory.dueCollection, 'minor');
	const body = memory.bodies.open(0, () => undefined);
	assert.ok(body.resize(limits.allLargeBytes, 0));
	body.release();
	assert.equal(memory.dueCollection, 'full');
	memory.recordCollection('full');
	assert.equal(memory.dueCollection, undefined);
	assert.equal(memory.heldBytes.uncollected, 0);
});

test('whatever callers do, the account holds no less than nothing, nothing of closed connections, and no more than its limits once what is due was done', () => {
	const step = fc.record({
		key: fc.nat({max: 9}), bytes: fc.nat({max: 3_000_000}), action: fc.constantFrom('unread', 'giveUp', 'close', 'head'),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 100}), steps => {
		const memory = new CallerMemory<number>(limits);
		for (const {key, bytes, action} of steps) {
			const actions = {
				unread() {
					memory.setUnread(key, bytes);
				},
				giveUp() {
					memory.giveUp(bytes, 'minor');
				},
				close() {
					memory.close(key);
				},
				head() {
					memory.heads.open(key, () => undefined);
				},
			};
			actions[action]();
			for (let victim = memory.chooseVictim(); victim !== undefined; victim = memory.chooseVictim()) {
				memory.close(victim);
			}

			const due: CollectionKind | undefined = memory.dueCollection;
			if (due) {
				memory.recordCollection(due);
			}

			assert.ok(Object.values(memory.heldBytes).every(held => held >= 0));
			assert.ok(memory.heldBytes.unread < limits.allUnreadBytes);
		}

		for (let key = 0; key < 10; key += 1) {
			memory.close(key);
		}

		assert.equal(memory.heldBytes.unread, 0);
	}));
});

test('among connections of other processes, those from which something is received stay when a crowd opens silent ones', () => {
	const guard = new PeerGuard<string>(10);
	let received = 0;
	guard.open('peer', () => received, 0);
	const closed: string[] = [];
	for (let silent = 0; silent < 100; silent += 1) {
		received += 100;
		const victim = guard.open(`silent ${silent}`, () => 0, silent + 1);
		if (victim) {
			closed.push(victim);
			guard.close(victim);
		}
	}

	assert.equal(closed.length, 91);
	assert.ok(!closed.includes('peer'));
});
