import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {FairQueue, type QueuedItem} from './fair-queue.ts';

const flows = ['a', 'b', 'c', 'd'];
const largestTokens = 500;
const pushes = fastCheck.array(fastCheck.record({
	flow: fastCheck.constantFrom(...flows), tokens: fastCheck.integer({min: 1, max: largestTokens}),
}), {minLength: 1, maxLength: 300});
const weights = fastCheck.record(Object.fromEntries(flows.map(flow => [flow, fastCheck.integer({min: 1, max: 8})])));

test('backlogged flows get tokens in proportion to their weights, within one item of each', () => {
	fastCheck.assert(fastCheck.property(pushes, weights, (items, weightOf) => {
		const queue = new FairQueue<QueuedItem>({capacity: 1000});
		for (const {flow, tokens} of items) {
			queue.push({flow, tokens, weight: weightOf[flow]!});
		}

		const served = new Map<string, number>();
		for (let item = queue.shift(); item; item = queue.shift()) {
			served.set(item.flow, (served.get(item.flow) ?? 0) + item.tokens);
			const waiting = flows.filter(flow => queue.backlogOf(flow) > 0);
			for (const one of waiting) {
				for (const other of waiting) {
					const difference = ((served.get(one) ?? 0) / weightOf[one]!) - ((served.get(other) ?? 0) / weightOf[other]!);
					assert.ok(Math.abs(difference) <= (largestTokens / weightOf[one]!) + (largestTokens / weightOf[other]!));
				}
			}
		}
	}), {seed: 11});
});

test('a newly backlogged flow is served before the backlog of a large flow', () => {
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 10, max: 500}), fastCheck.integer({min: 0, max: 9}), (burst, servedBefore) => {
		const queue = new FairQueue<QueuedItem>({capacity: 1000});
		for (let index = 0; index < burst; index += 1) {
			queue.push({flow: 'burst', tokens: 100, weight: 1});
		}

		for (let index = 0; index < servedBefore; index += 1) {
			queue.shift();
		}

		queue.push({flow: 'new', tokens: 100, weight: 1});
		const next = [queue.shift(), queue.shift()].map(item => item?.flow);
		assert.ok(next.includes('new'));
	}), {seed: 12});
});

test('no item starves while others keep arriving, and none is lost', () => {
	fastCheck.assert(fastCheck.property(pushes, items => {
		const queue = new FairQueue<QueuedItem>({capacity: 1000});
		const waiting = items.map(item => ({...item, weight: 1}));
		for (const item of waiting) {
			queue.push(item);
		}

		const starving = {flow: 'starving', tokens: largestTokens, weight: 1};
		queue.push(starving);
		const served = new Map<string, number>();
		let shifted = 0;
		for (let next = queue.shift(); next !== starving; next = queue.shift()) {
			assert.ok(next);
			shifted += 1;
			served.set(next.flow, (served.get(next.flow) ?? 0) + next.tokens);
			queue.push({...next});
		}

		assert.ok([...served.values()].every(tokens => tokens <= 2 * largestTokens));
		assert.equal(queue.size, items.length);
		assert.ok(shifted <= flows.length * 2 * largestTokens);
	}), {seed: 13});
});

test('the length is bounded and only the flow with the largest backlog loses items', () => {
	fastCheck.assert(fastCheck.property(pushes, fastCheck.integer({min: 1, max: 50}), (items, capacity) => {
		const queue = new FairQueue<QueuedItem>({capacity});
		for (const item of items) {
			const dropped = queue.push({...item, weight: 1});
			assert.ok(queue.size <= capacity);
			if (dropped) {
				const backlog = queue.backlogOf(dropped.flow) + dropped.tokens;
				assert.ok(flows.every(flow => queue.backlogOf(flow) <= backlog));
			}
		}
	}), {seed: 14});
});
