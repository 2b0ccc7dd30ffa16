import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EndingFleet, endingBody} from '../testing/ending-fleet.ts';
import {allowedLateSends} from '../testing/late-sends.ts';

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
