import assert from 'node:assert/strict';
import {test} from 'node:test';
import {allowedLateSends} from '../testing/late-sends.ts';
import {PromptPartLoad} from '../testing/prompt-part-load.ts';

/** Smallest share of sound requests that must be served at the first attempt. */
const soundShare = 0.5;

for (const {share, gateways} of [{share: 0.05, gateways: 4}, {share: 0.25, gateways: 4}, {share: 0.5, gateways: 4}, {share: 0.25, gateways: 16}]) {
	test(`a prompt part that crashes engines is held back by ${gateways} gateways while sound requests go on, at a share of ${share}`, async () => {
		await using load = await PromptPartLoad.create({gateways, workers: 12});
		await load.play({rate: 20, share, forMilliseconds: 12_000});
		const {ending: {ends}} = load;
		assert.ok(ends.length > 0, 'engines crash');
		assert.ok(load.lateSends().length <= allowedLateSends, `${ends.length} engines crashed, ${load.lateSends().length} late sends`);
		assert.ok(load.soundShare() >= soundShare, `${load.soundShare()} of the sound requests were served at the first attempt`);
	});
}

test('the prompt parts of a request whose engine crashed are named in the log', async () => {
	await using load = await PromptPartLoad.create({gateways: 1, workers: 4});
	await load.play({rate: 10, share: 1, forMilliseconds: 500});
	const line_ = load.ending.gateways[0]!.log.join('').split('\n').find(line => line.includes('endpoint looked at after a lost attempt'));
	const {parts} = JSON.parse(line_!) as {parts: string[]};
	assert.equal(parts.length, 2);
});
