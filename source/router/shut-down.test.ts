import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {complete} from '../client/mod.ts';
import {Fleet, testKey, workspacesFile} from '../testing/fleet.ts';
import {expectedText} from '../testing/stand-ins/expected-text.ts';

const prompt = 'Lore of the northern clans and their banners';
const tokens = 300;
const body = {
	model: 'briefs', prompt, max_tokens: tokens, seed: 7,
};
const wholeText = expectedText({prompt, seed: 7, version: 'v1'}, tokens);

type RawAnswer = {status: number | 'disconnected'; text: string; startedAt: number};

/** Sends one call directly to an address over a new connection, as a caller with a cached entry list does. */
async function callRaw(address: string): Promise<RawAnswer> {
	const startedAt = performance.now();
	try {
		const response = await request(`http://${address}/v1/completions`, {
			method: 'POST',
			headers: {authorization: `Bearer ${testKey}`, 'content-type': 'application/json'},
			body: JSON.stringify({...body, max_tokens: 20, stream: true}),
			reset: true,
		});
		return {status: response.statusCode, text: await response.body.text(), startedAt};
	} catch (error) {
		return {status: 'disconnected', text: String(error), startedAt};
	}
}

async function createFleet(): Promise<Fleet> {
	const fleet = await Fleet.create();
	await fleet.startEngine('engine-1', 'briefs');
	await fleet.startEngine('engine-2', 'briefs');
	await fleet.startRouter('router-1');
	await fleet.startRouter('router-2');
	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	return fleet;
}

/** Repeatedly calls an address until it accepts no more connections. */
async function callUntilDisconnected(address: string): Promise<RawAnswer[]> {
	const calls: Array<Promise<RawAnswer>> = [];
	const disconnected = new AbortController();
	while (!disconnected.signal.aborted) {
		const call = callRaw(address);
		calls.push(call);
		void call.then(({status}) => {
			if (status === 'disconnected') {
				disconnected.abort();
			}
		});
		await delay(100);
	}

	return Promise.all(calls);
}

for (const stop of ['SIGTERM', 'POST /drain'] as const) {
	test(`${stop} under load interrupts no request in progress and serves callers with a cached entry list`, async () => {
		await using fleet = await createFleet();
		const {address} = fleet.process('router-1');
		let started = 0;
		const streams = Array.from({length: 20}, async () => complete({
			entries: fleet.only('router-1'),
			key: testKey,
			request: body,
			deadlineMilliseconds: 30_000,
			onToken(_text, index) {
				started += index === 0 ? 1 : 0;
			},
		}));
		await fleet.until(() => started === 20, 'all streams have started');
		const raw = callUntilDisconnected(address);
		const stoppedAt = performance.now();
		if (stop === 'SIGTERM') {
			fleet.signal('router-1', 'SIGTERM');
			await delay(300);
			fleet.signal('router-1', 'SIGTERM');
		} else {
			await fleet.operator('router-1', '/drain', 'POST');
		}

		for (const answer of await Promise.all(streams)) {
			const {text, reconnections} = answer._unsafeUnwrap();
			assert.equal(text, wholeText);
			assert.equal(reconnections, 0);
		}

		assert.equal(await fleet.ended('router-1'), 0);
		const answers = await raw;
		const timeToLiveMilliseconds = 1000;
		const withCachedEntries = answers.filter(({startedAt}) => startedAt <= stoppedAt + timeToLiveMilliseconds);
		assert.ok(withCachedEntries.length > 3);
		assert.deepEqual([...new Set(withCachedEntries.map(({status}) => status))], [200]);
		for (const {status, text} of answers) {
			if (status === 'disconnected') {
				continue;
			}

			if (status === 200) {
				assert.ok(text.trimEnd().endsWith('[DONE]'), text.slice(-200));
				continue;
			}

			const {error} = JSON.parse(text) as {error: {code: string; run: string; entries: string[]}};
			assert.deepEqual([status, error.code, error.run], [503, 'host_leaving', 'no']);
			assert.deepEqual(error.entries, [fleet.process('router-2').address]);
		}

		assert.ok(answers.some(({status}) => status === 503));
		assert.ok(answers.filter(({status}) => status === 'disconnected').length < 3);
	});
}
