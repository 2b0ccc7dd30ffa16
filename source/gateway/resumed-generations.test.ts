import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayFleet, eventsOf, expectedEvents} from '../testing/gateway-fleet.ts';

/** Prompts of the generations that are lost at the same time; each prefers engines of its own. */
const prompts = Array.from({length: 8}, (_unused, index) => `a1:200,own${index}:7800`);

/** Last event that callers have received. */
const lastEvent = 5;

test('callers that resume the generations of a killed gateway at another one get them from the engine that keeps their prompts', async () => {
	await using fleet = await GatewayFleet.create();
	Object.assign(fleet.settings, {contracts: ['pool']});
	const first = await fleet.startWorker({id: 'scribe-1', service: 'scribe', events: 20});
	const lost = await fleet.startGateway('gateway-1');
	const headersOf = (prompt: string) => ({'x-azuretack-prompt-prefix': prompt, 'x-azuretack-model': 'model-1'});
	const broken = prompts.map(async prompt => fleet.draft(lost, {headers: headersOf(prompt)}));
	await fleet.until(() => first.promptsRead === prompts.length, 'all prompts are read');
	await fleet.killGateway(lost);
	await Promise.all(broken);
	const second = await fleet.startWorker({id: 'scribe-2', service: 'scribe', events: 20});
	const gateway = await fleet.startGateway('gateway-2');
	for (const prompt of prompts) {
		const answer = await fleet.draft(gateway, {headers: {...headersOf(prompt), 'last-event-id': String(lastEvent)}});
		assert.deepEqual(eventsOf(answer.body), expectedEvents(20).slice(lastEvent));
	}

	assert.equal(second.promptsRead, 0);
	const fresh = Array.from({length: 20}, (_unused, index) => `a1:200,fresh${index}:7800`);
	for (const prompt of fresh) {
		const answer = await fleet.draft(gateway, {headers: headersOf(prompt)});
		assert.equal(answer.status, 200);
	}

	assert.ok(second.promptsRead > 0, 'other generations go to both engines');
});
