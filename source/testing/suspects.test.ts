import assert from 'node:assert/strict';
import {test} from 'node:test';
import {complete} from '../client/mod.ts';
import {Fleet, testKey, workspacesFile} from './fleet.ts';
import {expectedText} from './stand-ins/expected-text.ts';

const tokens = 150;

/** Time after which a caller gives up, in milliseconds, so that callers of a test that has failed do not go on until the file's time is over. */
const deadlineMilliseconds = 60_000;

const engines = Array.from({length: 8}, (_, index) => `engine-${index}`);
const prompts = Array.from({length: 12}, (_, index) => `Lore of clan ${index}`);

async function createFleet(): Promise<Fleet> {
	const fleet = await Fleet.create();
	await Promise.all(engines.map(async (name, index) => fleet.startEngine(name, 'briefs', {stepMilliseconds: 20}, {availabilityZone: `zone-${'abcd'[index % 4]}`})));
	await fleet.startRouter('router-1');
	await fleet.startRouter('router-2', {}, 'zone-b');
	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	return fleet;
}

async function ask(fleet: Fleet, router: string, prompt: string, onToken?: () => void) {
	return complete({
		entries: fleet.entries(router), key: testKey, onToken, deadlineMilliseconds, request: {
			model: 'briefs', prompt, max_tokens: tokens, seed: 7,
		},
	});
}

/** Starts long generations and returns their answers once each has its first token. */
async function startInnocents(fleet: Fleet) {
	const started = new Set<string>();
	const answers = prompts.map(async (prompt, index) => ask(fleet, `router-${1 + (index % 2)}`, prompt, () => {
		started.add(prompt);
	}));
	await fleet.until(() => started.size === prompts.length, 'every generation has a token');
	return answers;
}

async function assertWhole(answers: Array<ReturnType<typeof ask>>): Promise<void> {
	const results = await Promise.all(answers);
	for (const [index, answer] of results.entries()) {
		assert.equal(answer._unsafeUnwrap().text, expectedText({prompt: prompts[index]!, seed: 7, version: 'v1'}, tokens));
	}
}

function dead(fleet: Fleet): string[] {
	return engines.filter(name => fleet.process(name).child.signalCode !== null);
}

test('a request that kills endpoints takes at most two, also through another entry, and innocents go on', async () => {
	await using fleet = await createFleet();
	const innocents = await startInnocents(fleet);
	const first = await ask(fleet, 'router-1', 'poison [crash]');
	assert.equal(first._unsafeUnwrapErr().code, 'request_convicted');
	assert.equal(first._unsafeUnwrapErr().run, 'yes');
	assert.equal(dead(fleet).length, 2);
	for (const router of ['router-2', 'router-1', 'router-2']) {
		const repeated = await ask(fleet, router, 'poison [crash]');
		assert.equal(repeated._unsafeUnwrapErr().code, 'request_convicted');
		assert.equal(repeated._unsafeUnwrapErr().run, 'no');
	}

	await assertWhole(innocents);
	assert.equal(dead(fleet).length, 2);
	const {rows} = await fleet.control<{rows: unknown[]}>('platform', '/control/rows?table=refused');
	assert.equal(rows.length, 1);
});

test('a zone that is lost at once convicts nobody', async () => {
	await using fleet = await createFleet();
	const innocents = await startInnocents(fleet);
	for (const name of engines.filter((_, index) => index % 4 === 0)) {
		fleet.signal(name, 'SIGKILL');
	}

	await fleet.until(() => dead(fleet).length === 2, 'the zone is lost');
	for (const name of engines.filter((_, index) => index % 4 === 1)) {
		fleet.signal(name, 'SIGKILL');
	}

	await assertWhole(innocents);
	const {rows} = await fleet.control<{rows: unknown[]}>('platform', '/control/rows?table=refused');
	assert.deepEqual(rows, []);
});

test('while the table is down, a convicted request is refused where it was convicted and written later', async () => {
	await using fleet = await createFleet();
	await fleet.control('platform', '/control/fault', {mode: 'down', paths: ['/table']});
	const first = await ask(fleet, 'router-1', 'poison [crash]');
	assert.equal(first._unsafeUnwrapErr().code, 'request_convicted');
	const repeated = await ask(fleet, 'router-1', 'poison [crash]');
	assert.equal(repeated._unsafeUnwrapErr().run, 'no');
	assert.equal(dead(fleet).length, 2);
	await fleet.control('platform', '/control/fault', {mode: 'up'});
	await fleet.until(async () => {
		const {rows} = await fleet.control<{rows: unknown[]}>('platform', '/control/rows?table=refused');
		return rows.length === 1;
	}, 'the conviction is written');
	await fleet.until(async () => {
		const elsewhere = await ask(fleet, 'router-2', 'poison [crash]');
		return elsewhere._unsafeUnwrapErr().run === 'no';
	}, 'the other router has read it');
	assert.equal(dead(fleet).length, 2);
});
