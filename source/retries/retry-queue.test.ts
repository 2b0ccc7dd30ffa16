import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {readClock} from '../clocks/mod.ts';
import {chooseLenders} from './choose-lenders.ts';
import {compareClaims} from './retry-order.ts';
import {RetryQueue, type RetryRequest} from './retry-queue.ts';

const claim = (changes: Partial<RetryRequest>): RetryRequest => ({
	hasBegun: false, importance: 1, deadline: Number.POSITIVE_INFINITY, waits: true, signal: undefined, ...changes,
});

// Load: more streams have lost their engines than there are retries.
test('a response that has begun comes before others, then the more important request, then the nearer deadline', () => {
	const begun = claim({hasBegun: true, importance: 3});
	const important = claim({importance: 0, deadline: 9000});
	const near = claim({deadline: 5000});
	const far = claim({deadline: 6000});
	assert.deepEqual([far, near, important, begun].toSorted(compareClaims), [begun, important, near, far]);
});

test('those that wait are served in their order by what is borrowed, and one that does not wait is refused once nothing is lent', async () => {
	const rounds = [2, 0, 1];
	let held = 0;
	const queue = new RetryQueue({
		takeHeld() {
			const isTaken = held > 0;
			held -= isTaken ? 1 : 0;
			return isTaken;
		},
		async borrow() {
			await delay(1);
			const lent = rounds.shift() ?? 0;
			held += lent;
			return lent > 0;
		},
		readClock,
	});
	const ended: string[] = [];
	const wait = async (name: string, changes: Partial<RetryRequest>) => {
		const allowed = await queue.wait(claim(changes));
		ended.push(`${name} ${allowed ? 'allowed' : 'refused'}`);
	};

	await Promise.all([
		wait('call', {waits: false}), wait('late', {deadline: readClock().steady + 9000}), wait('near', {deadline: readClock().steady + 5000}), wait('begun', {hasBegun: true}),
	]);
	assert.deepEqual(ended, ['begun allowed', 'near allowed', 'call refused', 'late allowed']);
	assert.equal(queue.length, 0);
});

test('one that waits is refused at its deadline or once its caller has left', async () => {
	const queue = new RetryQueue({takeHeld: () => false, borrow: async () => false, readClock});
	const caller = new AbortController();
	const left = queue.wait(claim({signal: caller.signal}));
	caller.abort();
	assert.deepEqual(await Promise.all([left, queue.wait(claim({deadline: readClock().steady + 150}))]), [false, false]);
});

test('a gateway asks different ready gateways that are not avoided, few of many', () => {
	const gateways = Array.from({length: 300}, (_unused, index) => ({name: `gateway-${index}`, peers: `10.0.0.1:${index}`, ready: index !== 0}));
	const seen = new Set<string>();
	for (let round = 0; round < 50; round += 1) {
		const chosen = chooseLenders({
			self: 'gateway-self', gateways, avoidedUntil: new Map(), count: 4, now: 0, random: Math.random,
		});
		assert.equal(new Set(chosen).size, 4);
		for (const {name} of chosen) {
			seen.add(name);
		}
	}

	assert.ok(seen.size <= 12 && !seen.has('gateway-0'));
	const avoidedUntil = new Map([...seen].map(name => [name, 500]));
	const others = chooseLenders({
		self: 'gateway-self', gateways, avoidedUntil, count: 4, now: 499, random: Math.random,
	});
	assert.ok(others.every(({name}) => !seen.has(name)));
});
