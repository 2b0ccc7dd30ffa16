import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {complete} from '../client/mod.ts';
import {
	sendCall, startCallFleet, type TestAnswer, type TestCall,
} from './call-fleet.ts';
import {Fleet, testKey, workspacesFile} from './fleet.ts';
import {findLimitExcess} from './limit-excess.ts';

/** Time after an endpoint first named its limit from which it must be kept, in milliseconds. */
const contactMilliseconds = 3000;

/** Requests a second that the endpoints of these tests accept. */
const limit = 2;

/** Sends calls at a constant rate through both routers in turn. */
async function sendCalls(fleet: Fleet, {rate, seconds, ...what}: TestCall & {rate: number; seconds: number}): Promise<TestAnswer[]> {
	const answers: Array<Promise<TestAnswer>> = [];
	for (let number = 0; number < rate * seconds; number += 1) {
		answers.push(sendCall(fleet, {...what, router: `router-${1 + (number % 2)}` as 'router-1', key: what.method === 'POST' ? `key-${number}` : undefined}));
		await delay(1000 / rate);
	}

	return Promise.all(answers);
}

async function assertKept(fleet: Fleet, name: string, namedAt: number): Promise<number[]> {
	const arrivals = await fleet.control<number[]>(name, '/control/arrivals');
	const excess = findLimitExcess(arrivals, [{at: namedAt, limit}], contactMilliseconds);
	assert.equal(excess, undefined, `${name}: ${excess?.requests} requests in a span, ${excess?.allowed} are allowed`);
	return arrivals.filter(at => at >= namedAt + contactMilliseconds);
}

for (const [kind, shape] of [['idempotent calls', {method: 'GET', path: '/status'}], ['calls that run at most once', {method: 'POST', path: '/refills', firstAttempt: true}]] as const) {
	test(`an endpoint that names a limit gets no more ${kind} than it from all routers together, and the rest is rejected at once`, async () => {
		await using fleet = await Fleet.create();
		await startCallFleet(fleet);
		await fleet.control('plain-1', '/control/limit', {limit: String(limit)});
		const namedAt = Date.now();
		const answers = await sendCalls(fleet, {...shape, rate: 20, seconds: 10});
		const arrivals = await assertKept(fleet, 'plain-1', namedAt);
		assert.ok(arrivals.length >= 0.8 * limit * 6, `${arrivals.length} requests in 7 s`);
		const rejected = answers.filter(({status}) => status === 503);
		assert.ok(rejected.length > answers.length / 2, `${rejected.length} of ${answers.length} are rejected`);
		assert.ok(rejected.every(({run, retryAfter}) => run === 'no' && Number(retryAfter) > 0));
		await fleet.control('plain-1', '/control/limit', {});
		await sendCalls(fleet, {...shape, rate: 10, seconds: 3});
		const late = await sendCalls(fleet, {...shape, rate: 10, seconds: 1});
		const unserved = late.filter(({status}) => status >= 300).map(({status, run, code, text}) => ({
			status, run, code, text,
		}));
		assert.deepEqual(unserved, [], 'all are served after the limit was lifted');
	});
}

test('an engine that names a limit gets no more generations than it from all routers together', async () => {
	await using fleet = await Fleet.create();
	await fleet.startEngine('engine-1', 'briefs', {stepMilliseconds: 5});
	await fleet.startEngine('engine-2', 'briefs', {stepMilliseconds: 5});
	await fleet.startRouter('router-1');
	await fleet.startRouter('router-2', {}, 'zone-b');
	await fleet.publishHosts();
	const published = await fleet.publish({'briefs.service.jsonc': {service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}}, 'all.workspaces.jsonc': workspacesFile()});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	await fleet.control('engine-1', '/control/limit', {limit: String(limit)});
	const namedAt = Date.now();
	const generations: Array<ReturnType<typeof complete>> = [];
	for (let number = 0; number < 160; number += 1) {
		generations.push(complete({
			entries: fleet.entries(`router-${1 + (number % 2)}`), key: testKey, request: {
				model: 'briefs', prompt: `Lore ${number}`, max_tokens: 5, seed: 7,
			},
		}));
		await delay(50);
	}

	const answers = await Promise.all(generations);
	await assertKept(fleet, 'engine-1', namedAt);
	assert.ok(answers.every(answer => answer.isOk()), 'all are served by the other engine');
});
