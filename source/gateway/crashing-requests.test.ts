import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EndingFleet, endingBody} from '../testing/ending-fleet.ts';
import {allowedLateSends, knownAfterEnds} from '../testing/late-sends.ts';

/** How often and for how long a caller repeats a request. */
const schedule = {everyMilliseconds: 400, forMilliseconds: 12_000};

test('an idempotent call that crashes its endpoints is not sent again once all gateways must know of it', async () => {
	await using crashFleet = await EndingFleet.create({service: 'desk', gateways: 3, workers: 8});
	await crashFleet.repeat({path: '/status/1', method: 'POST', body: endingBody}, schedule);
	assert.ok(crashFleet.lateSends().length <= allowedLateSends, `${crashFleet.ends.length} endpoints crashed, ${crashFleet.lateSends().length} late sends`);
});

test('an at-most-once call that crashes its endpoints is not sent again once all gateways must know of it', async () => {
	await using crashFleet = await EndingFleet.create({service: 'desk', gateways: 3, workers: 8});
	await crashFleet.repeat({path: '/deposits/1', method: 'POST', body: endingBody}, schedule);
	assert.ok(crashFleet.lateSends().length <= allowedLateSends, `${crashFleet.ends.length} endpoints crashed, ${crashFleet.lateSends().length} late sends`);
});

test('a generation that crashes its engines is not sent again once all gateways must know of it', async () => {
	await using crashFleet = await EndingFleet.create({service: 'scribe', gateways: 3, workers: 8});
	await crashFleet.repeat({
		path: '/drafts/1', method: 'POST', body: endingBody, headers: {'x-azuretack-token-counts': '8000,120', 'x-azuretack-prompt-prefix': 'a1:200,b2:7800'},
	}, schedule);
	assert.ok(crashFleet.lateSends().length <= allowedLateSends, `${crashFleet.ends.length} endpoints crashed, ${crashFleet.lateSends().length} late sends`);
});

test('a request that crashes its endpoints stays refused after all gateways are killed together and restarted', async () => {
	await using crashFleet = await EndingFleet.create({service: 'desk', gateways: 3, workers: 8});
	const crashing = crashFleet.repeat({path: '/status/1', method: 'POST', body: endingBody}, schedule);
	for (const wait of [1500, 4000]) {
		await delay(wait);
		const killed = crashFleet.gateways;
		await Promise.all(killed.map(async gateway => crashFleet.fleet.killGateway(gateway)));
		await Promise.all(killed.map(async ({name}) => crashFleet.startGateway(name)));
	}

	await crashing;
	assert.ok(crashFleet.ends.length >= 3);
	assert.ok(crashFleet.lateSends().length <= allowedLateSends, `${crashFleet.ends.length} endpoints crashed, ${crashFleet.lateSends().length} late sends`);
});

test('each gateway refuses a request that crashes its endpoints on its own while the store is unavailable', async () => {
	await using crashFleet = await EndingFleet.create({service: 'desk', gateways: 3, workers: 16});
	crashFleet.fleet.store.fault = 'busy';
	await crashFleet.repeat({path: '/status/1', method: 'POST', body: endingBody}, {everyMilliseconds: 100, forMilliseconds: 3500});
	assert.ok(crashFleet.ends.length <= knownAfterEnds * 3, `${crashFleet.ends.length} endpoints crashed`);
});

test('other requests are served while one crashes endpoints, and are not suspected of the crashes', async () => {
	await using crashFleet = await EndingFleet.create({
		service: 'desk', gateways: 3, workers: 8, worker: {callMilliseconds: 20},
	});
	const crashing = crashFleet.repeat({path: '/status/1', method: 'POST', body: endingBody}, schedule);
	const others = Array.from({length: 12}, async (_unused, index) => crashFleet.repeat({path: `/status/other-${index}`}, {everyMilliseconds: 30, forMilliseconds: schedule.forMilliseconds}));
	const answers = await Promise.all(others);
	await crashing;
	const served = answers.flat().filter(({status}) => status === 200).length;
	assert.ok(served >= 0.95 * answers.flat().length, `${served} of ${answers.flat().length} were served`);
	assert.ok(answers.every(list => list.slice(-20).every(({status}) => status === 200)), 'the last requests of each caller are served');
});

test('a popular request is served although endpoints crash during it for unrelated reasons', async () => {
	await using crashFleet = await EndingFleet.create({
		service: 'desk', gateways: 3, workers: 8, worker: {callMilliseconds: 60},
	});
	const popular = Array.from({length: 16}, async () => crashFleet.repeat({path: '/status/popular'}, {everyMilliseconds: 20, forMilliseconds: schedule.forMilliseconds}));
	for (const count of [3, 2, 4]) {
		await delay(2500);
		await Promise.all(crashFleet.workers.slice(0, count).map(async worker => {
			void crashFleet.endWorker(worker);
		}));
	}

	const answers = await Promise.all(popular);
	const served = answers.flat().filter(({status}) => status === 200).length;
	assert.ok(served >= 0.5 * answers.flat().length, `${served} of ${answers.flat().length} were served`);
	assert.ok(answers.every(list => list.slice(-20).every(({status}) => status === 200)), 'the last requests of each caller are served');
	assert.ok(crashFleet.gateways.some(({log}) => log.join('').includes('"fate":"ended"')), 'endpoints crashed during it');
});
