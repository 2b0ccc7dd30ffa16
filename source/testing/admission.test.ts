import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {complete} from '../client/mod.ts';
import {Fleet, workspacesFile} from './fleet.ts';
import {expectedText} from './stand-ins/expected-text.ts';

const keys = {flood: 'key-of-workspace-flood', quiet: 'key-of-workspace-quiet'};
const outputTokens = 40;
const engineOptions = {stepMilliseconds: 20, batchSize: 4};

async function createFleet(engines: number, engineTokens: number): Promise<Fleet> {
	const fleet = await Fleet.create();
	for (let index = 0; index < engines; index += 1) {
		await fleet.startEngine(`engine-${index}`, 'briefs', engineOptions);
	}

	await fleet.startRouter('router-1');
	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {
			service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}, deadlineSeconds: 60, engineTokens,
		},
		'all.workspaces.jsonc': workspacesFile({flood: {key: keys.flood}, quiet: {key: keys.quiet}}),
	});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	return fleet;
}

type Answer = {status: number; code?: string; run?: string; retryAfter?: string; milliseconds: number};

/** Asks once, without a caller's own retries. */
async function askOnce(fleet: Fleet, key: string, prompt: string): Promise<Answer> {
	const startedAt = performance.now();
	const response = await request(`http://${fleet.process('router-1').address}/v1/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'briefs', prompt, max_tokens: outputTokens, seed: 7,
		}),
	});
	const body = await response.body.json() as {error?: {code: string; run: string}};
	return {
		status: response.statusCode, code: body.error?.code, run: body.error?.run, retryAfter: response.headers['retry-after'] as string | undefined, milliseconds: performance.now() - startedAt,
	};
}

async function decoded(fleet: Fleet, names: string[]): Promise<number> {
	const works = await Promise.all(names.map(async name => fleet.control<{generations: number}>(name, '/control/work')));
	return works.reduce((sum, {generations}) => sum + generations, 0);
}

test('a flood is answered with the time to come back and runs nothing, while a quiet workspace is served', async () => {
	await using fleet = await createFleet(1, 4 * (outputTokens + 10));
	for (let warm = 0; warm < 3; warm += 1) {
		const {status} = await askOnce(fleet, keys.quiet, `warm ${warm}`);
		assert.equal(status, 200);
	}

	const flood = Array.from({length: 150}, async (_, index) => askOnce(fleet, keys.flood, `flood ${index}`));
	const quiet = [];
	for (let index = 0; index < 5; index += 1) {
		quiet.push(await askOnce(fleet, keys.quiet, `quiet ${index}`));
	}

	const answers = await Promise.all(flood);
	const refused = answers.filter(({status}) => status !== 200);
	assert.ok(quiet.every(({status}) => status === 200));
	assert.ok(refused.length > 75, `${refused.length} refused`);
	for (const {status, code, run, retryAfter} of refused) {
		assert.deepEqual({status, code, run}, {status: 503, code: 'overloaded', run: 'no'});
		assert.ok(Number(retryAfter) >= 1);
	}

	const early = refused.filter(({milliseconds}) => milliseconds < 2500);
	assert.ok(early.length > refused.length / 2, 'most were answered before the longest wait');
	assert.equal(await decoded(fleet, ['engine-0']), 3 + quiet.length + answers.length - refused.length);
});

test('generations go on after an outage of every engine, and no request starts more often than its losses', async () => {
	await using fleet = await createFleet(3, 1000);
	const names = ['engine-0', 'engine-1', 'engine-2'];
	const prompts = Array.from({length: 9}, (_, index) => `Lore of clan ${index}`);
	const started = new Set<string>();
	const answers = prompts.map(async prompt => complete({
		entries: fleet.entries('router-1'),
		key: keys.quiet,
		request: {
			model: 'briefs', prompt, max_tokens: 200, seed: 7,
		},
		onToken() {
			started.add(prompt);
		},
	}));
	await fleet.until(() => started.size === prompts.length, 'every generation has a token');
	for (const name of names) {
		fleet.signal(name, 'SIGKILL');
		await fleet.ended(name);
	}

	await Promise.all(names.map(async name => fleet.startStandIn('engine', name, engineOptions, fleet.process(name).address)));
	const results = await Promise.all(answers);
	for (const [index, answer] of results.entries()) {
		assert.equal(answer._unsafeUnwrap().text, expectedText({prompt: prompts[index]!, seed: 7, version: 'v1'}, 200));
	}

	assert.ok(await decoded(fleet, names) <= prompts.length * 2);
});

test('new work is refused at once during an outage of every engine and served after it, with nothing in progress', async () => {
	await using fleet = await createFleet(1, 1000);
	const {status} = await askOnce(fleet, keys.quiet, 'before');
	assert.equal(status, 200);
	fleet.signal('engine-0', 'SIGKILL');
	await fleet.ended('engine-0');
	await askOnce(fleet, keys.quiet, 'before the circuits are open');
	const refused = await askOnce(fleet, keys.quiet, 'during the outage');
	assert.deepEqual([refused.code, refused.run], ['no_endpoint', 'no']);
	assert.ok(refused.milliseconds < 5000, 'it does not wait for an endpoint as an admitted request does');
	await fleet.startStandIn('engine', 'engine-0', engineOptions, fleet.process('engine-0').address);
	await fleet.until(async () => {
		const answer = await askOnce(fleet, keys.quiet, 'after');
		return answer.status === 200;
	}, 'new work is served');
});
