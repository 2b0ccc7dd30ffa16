import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EndingFleet, endingBody} from '../testing/ending-fleet.ts';
import {allowedLateSends, knownAfterEnds} from '../testing/late-sends.ts';

/** How a caller comes back. */
const pace = {everyMilliseconds: 400, forMilliseconds: 12_000};

test('a repeatable call that ends its endpoints is not sent on once that must be known', async () => {
	await using ending = await EndingFleet.create({service: 'desk', gateways: 3, workers: 8});
	await ending.repeat({path: '/status/1', method: 'POST', body: endingBody}, pace);
	assert.ok(ending.lateSends().length <= allowedLateSends, `${ending.ends.length} endpoints ended, ${ending.lateSends().length} sends were late`);
});

test('a call that may run once and ends its endpoints is not sent on once that must be known', async () => {
	await using ending = await EndingFleet.create({service: 'desk', gateways: 3, workers: 8});
	await ending.repeat({path: '/deposits/1', method: 'POST', body: endingBody}, pace);
	assert.ok(ending.lateSends().length <= allowedLateSends, `${ending.ends.length} endpoints ended, ${ending.lateSends().length} sends were late`);
});

test('a generation that ends its engines is not sent on once that must be known', async () => {
	await using ending = await EndingFleet.create({service: 'scribe', gateways: 3, workers: 8});
	await ending.repeat({
		path: '/drafts/1', method: 'POST', body: endingBody, headers: {'x-azuretack-token-counts': '8000,120', 'x-azuretack-prompt-prefix': 'a1:200,b2:7800'},
	}, pace);
	assert.ok(ending.lateSends().length <= allowedLateSends, `${ending.ends.length} endpoints ended, ${ending.lateSends().length} sends were late`);
});

test('a request that ends its endpoints stays held back when all gateways are killed at once and start anew', async () => {
	await using ending = await EndingFleet.create({service: 'desk', gateways: 3, workers: 8});
	const repeating = ending.repeat({path: '/status/1', method: 'POST', body: endingBody}, pace);
	for (const wait of [1500, 4000]) {
		await delay(wait);
		const killed = ending.gateways;
		await Promise.all(killed.map(async gateway => ending.fleet.killGateway(gateway)));
		await Promise.all(killed.map(async ({name}) => ending.startGateway(name)));
	}

	await repeating;
	assert.ok(ending.ends.length >= 3);
	assert.ok(ending.lateSends().length <= allowedLateSends, `${ending.ends.length} endpoints ended, ${ending.lateSends().length} sends were late`);
});

test('a request that ends its endpoints is held back by each gateway alone while the store is away', async () => {
	await using ending = await EndingFleet.create({service: 'desk', gateways: 3, workers: 16});
	ending.fleet.store.fault = 'busy';
	await ending.repeat({path: '/status/1', method: 'POST', body: endingBody}, {everyMilliseconds: 100, forMilliseconds: 3500});
	assert.ok(ending.ends.length <= knownAfterEnds * 3, `${ending.ends.length} endpoints ended`);
});

test('others are served while a request ends endpoints, and are not taken for the cause', async () => {
	await using ending = await EndingFleet.create({
		service: 'desk', gateways: 3, workers: 8, worker: {callMilliseconds: 20},
	});
	const repeating = ending.repeat({path: '/status/1', method: 'POST', body: endingBody}, pace);
	const others = Array.from({length: 12}, async (_unused, index) => ending.repeat({path: `/status/other-${index}`}, {everyMilliseconds: 30, forMilliseconds: pace.forMilliseconds}));
	const answers = await Promise.all(others);
	await repeating;
	const served = answers.flat().filter(({status}) => status === 200).length;
	assert.ok(served >= 0.95 * answers.flat().length, `${served} of ${answers.flat().length} were served`);
	assert.ok(answers.every(list => list.slice(-20).every(({status}) => status === 200)), 'all are served in the end');
});

test('a popular request is served although endpoints end under it for reasons of their own', async () => {
	await using ending = await EndingFleet.create({
		service: 'desk', gateways: 3, workers: 8, worker: {callMilliseconds: 60},
	});
	const popular = Array.from({length: 16}, async () => ending.repeat({path: '/status/popular'}, {everyMilliseconds: 20, forMilliseconds: pace.forMilliseconds}));
	for (const count of [3, 2, 4]) {
		await delay(2500);
		await Promise.all(ending.workers.slice(0, count).map(async worker => {
			void ending.endWorker(worker);
		}));
	}

	const answers = await Promise.all(popular);
	const served = answers.flat().filter(({status}) => status === 200).length;
	assert.ok(served >= 0.5 * answers.flat().length, `${served} of ${answers.flat().length} were served`);
	assert.ok(answers.every(list => list.slice(-20).every(({status}) => status === 200)), 'all are served in the end');
	assert.ok(ending.gateways.some(({log}) => log.join('').includes('"fate":"ended"')), 'endpoints ended under it');
});
