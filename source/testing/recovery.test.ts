import assert from 'node:assert/strict';
import {test} from 'node:test';
import {complete} from '../client/mod.ts';
import {createBriefsFleet} from './briefs-fleet.ts';
import {Fleet, testKey, workspacesFile} from './fleet.ts';
import {expectedText} from './stand-ins/expected-text.ts';

const prompt = 'Lore of the northern clans and their banners';
const request = {
	model: 'briefs', prompt, max_tokens: 120, seed: 7,
};
const wholeText = expectedText({prompt, seed: 7, version: 'v1'}, 120);

/** Finds the engine that decodes; there is one generation. */
async function busyEngine(fleet: Fleet): Promise<string> {
	for (const name of ['engine-1', 'engine-2']) {
		const work = await fleet.control<{decodedTokens: number}>(name, '/control/work');
		if (work.decodedTokens > 0) {
			return name;
		}
	}

	throw new Error('no engine decodes');
}

for (const policy of ['latency', 'cost'] as const) {
	for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
		test(`under ${policy}, a generation outlives its engine's ${signal}`, async () => {
			await using fleet = await createBriefsFleet({policy});
			let injected: Promise<void> | undefined;
			const answer = await complete({
				entries: fleet.entries(),
				key: testKey,
				request,
				onToken(_text, index) {
					if (index === 40) {
						injected = (async () => {
							fleet.signal(await busyEngine(fleet), signal);
						})();
					}
				},
			});
			await injected;
			assert.equal(answer._unsafeUnwrap().text, wholeText);
			assert.equal(answer._unsafeUnwrap().reconnections, 0);
			assert.ok(answer._unsafeUnwrap().longestGapMilliseconds < 5000);
		});
	}
}

for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
	test(`a generation outlives its router's ${signal}`, async () => {
		await using fleet = await createBriefsFleet({policy: 'latency'});
		const answer = await complete({
			entries: fleet.entries(),
			key: testKey,
			request,
			onToken(_text, index, address) {
				if (index === 40) {
					const router = fleet.process('router-1').address === address ? 'router-1' : 'router-2';
					fleet.signal(router, signal);
				}
			},
		});
		assert.equal(answer._unsafeUnwrap().text, wholeText);
		assert.equal(answer._unsafeUnwrap().reconnections, 1);
		assert.ok(answer._unsafeUnwrap().longestGapMilliseconds < 5000);
	});
}

test('a generation starts elsewhere when endpoints on the host list are dead', async () => {
	await using fleet = await createBriefsFleet({policy: 'latency'});
	fleet.signal('engine-1', 'SIGKILL');
	await fleet.ended('engine-1');
	for (const seed of [1, 2, 3, 4]) {
		const answer = await complete({
			entries: fleet.entries(), key: testKey, deadlineMilliseconds: 20_000, request: {...request, seed, max_tokens: 20},
		});
		assert.equal(answer._unsafeUnwrap().text, expectedText({prompt, seed, version: 'v1'}, 20));
	}
});

test('an engine that is alive and slow to its first token is not asked again and again', async () => {
	await using fleet = await Fleet.create();
	await fleet.startEngine('engine-1', 'briefs', {prefillMillisecondsPerToken: 1000});
	await fleet.startRouter('router-1');
	await fleet.publishHosts();
	await fleet.publish({
		'briefs.service.jsonc': {
			service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}, recovery: {policy: 'latency', silenceMilliseconds: 100},
		},
		'all.workspaces.jsonc': workspacesFile(),
	});
	await fleet.waitUntilReady();
	const answer = await complete({
		entries: fleet.entries(), key: testKey, request: {...request, prompt: 'one two three four five six ', max_tokens: 5},
	});
	assert.equal(answer._unsafeUnwrap().tokens, 5);
	const {spans} = await fleet.operator<{spans: Array<{name: string}>}>('router-1', `/explain?request=${answer._unsafeUnwrap().generation}`);
	const attempts = spans.filter(({name}) => name === 'attempt').length;
	assert.ok(attempts > 1 && attempts <= 8, `${attempts} attempts`);
});
