import assert from 'node:assert/strict';
import {test} from 'node:test';
import {complete} from '../client/mod.ts';
import {createBriefsFleet} from '../testing/briefs-fleet.ts';
import {platformOf} from '../testing/configuration-fleet.ts';
import {
	Fleet, operatorKey, testKey, workspacesFile, type ProgramEnd,
} from '../testing/fleet.ts';
import {type ExplainedSpan} from './explain-request.ts';

const environment = {AZURETACK_OPERATOR_KEY: operatorKey};

async function operate(fleet: Fleet, ...parameters: string[]): Promise<ProgramEnd> {
	return fleet.runProgram('azuretack-operate', ['--platform', `http://${fleet.process('platform').address}`, ...parameters], environment);
}

test('status lists every router as a table and as JSON, and reports a router that does not respond', async () => {
	await using fleet = await createBriefsFleet();
	const table = await operate(fleet, 'status');
	assert.equal(table.code, 0, table.errors);
	assert.match(table.output, /^host +zone +state +configuration/v);
	assert.match(table.output, /router-1 +zone-a +ready +1/v);
	fleet.signal('router-2', 'SIGKILL');
	const partial = await operate(fleet, 'status', '--json');
	assert.equal(partial.code, 3);
	const value = JSON.parse(partial.output) as {hosts: Array<{host: string; configurationVersion: number}>; failures: Array<{host: string}>};
	assert.deepEqual(value.hosts.map(({host, configurationVersion}) => [host, configurationVersion]), [['router-1', 1]]);
	assert.deepEqual(value.failures.map(({host}) => host), ['router-2']);
});

test('explain shows each hop of a generation that resumed on another router after its router was paused', async () => {
	await using fleet = await createBriefsFleet();
	let paused = '';
	const answer = await complete({
		entries: fleet.entries(),
		key: testKey,
		request: {
			model: 'briefs', prompt: 'Lore of the hills', max_tokens: 100, seed: 3,
		},
		onToken(_text, index, address) {
			if (index === 20) {
				paused = fleet.process('router-1').address === address ? 'router-1' : 'router-2';
				fleet.signal(paused, 'SIGSTOP');
			}
		},
	});
	const {generation} = answer._unsafeUnwrap();
	fleet.signal(paused, 'SIGCONT');
	let spans: ExplainedSpan[] = [];
	await fleet.until(async () => {
		spans = await explain(fleet, generation);
		const hops = new Set(spans.map(({host, name}) => `${host} ${name}`));
		return ['router-1', 'router-2'].every(host => hops.has(`${host} caller`) && hops.has(`${host} attempt`));
	}, 'both routers have finished their hops');
	const starts = spans.map(({startMilliseconds}) => startMilliseconds);
	assert.deepEqual(starts, starts.toSorted((left, right) => left - right));
	const firstRequest = spans.find(({name}) => name === 'caller')!.attributes.request as string;
	const sameSpans = await explain(fleet, firstRequest);
	assert.deepEqual(sameSpans.map(({spanId}) => spanId), spans.map(({spanId}) => spanId));
	const text = await operate(fleet, 'explain', generation);
	assert.match(text.output, /^ *at ms +took ms +host +hop +details\n/v);
	assert.match(text.output, / attempt +.*endpoint=127\./v);
	const unknown = await operate(fleet, 'explain', 'no-such-request');
	assert.equal(unknown.code, 1);
	assert.match(unknown.errors, /no host that answered knows a finished hop of "no-such-request"/v);
});

async function explain(fleet: Fleet, name: string): Promise<ExplainedSpan[]> {
	const explained = await operate(fleet, 'explain', name, '--json');
	const {spans} = JSON.parse(explained.output) as {spans: ExplainedSpan[]};
	return spans;
}

test('usage sums the rows of all router incarnations across several pages', async () => {
	await using fleet = await Fleet.create();
	const platform = platformOf(fleet);
	const rows = Array.from({length: 1300}, (_, number) => ({
		key: `${number % 2 === 0 ? 'painters' : 'clients'}/incarnation-${number}`,
		value: {
			workspace: number % 2 === 0 ? 'painters' : 'clients', host: 'router-1', delivered_tokens: 10, extra_tokens: 1, calls: 2,
		},
	}));
	for (let first = 0; first < rows.length; first += 100) {
		const written = await platform.transact(rows.slice(first, first + 100).map(({key, value}) => ({
			kind: 'put', table: 'usage', key, value, condition: {kind: 'always'},
		})));
		assert.ok(written.isOk());
	}

	const usage = await operate(fleet, 'usage', '--json');
	assert.deepEqual(JSON.parse(usage.output), {
		workspaces: [
			{
				workspace: 'clients', deliveredTokens: 6500, extraTokens: 650, calls: 1300,
			},
			{
				workspace: 'painters', deliveredTokens: 6500, extraTokens: 650, calls: 1300,
			},
		],
		unreadableRows: [],
	});
	const table = await operate(fleet, 'usage');
	assert.match(table.output, /painters +6500 +650 +1300/v);
	await platform.close();
});

test('drain makes a host leave, and an unknown host is rejected with a list of the known hosts', async () => {
	await using fleet = await createBriefsFleet();
	const unknown = await operate(fleet, 'drain', 'router-9');
	assert.equal(unknown.code, 1);
	assert.match(unknown.errors, /no entry host "router-9"; known: router-1, router-2/v);
	// A router without requests ends as soon as it leaves.
	let tokens = 0;
	const answering = complete({
		entries: fleet.entries('router-2'),
		key: testKey,
		request: {
			model: 'briefs', prompt: 'Lore of the sea', max_tokens: 1000, seed: 3,
		},
		onToken() {
			tokens += 1;
		},
	});
	await fleet.until(() => tokens > 0, 'a generation is in progress');
	const drained = await operate(fleet, 'drain', 'router-2');
	assert.equal(drained.output, 'router-2 is leaving\n', drained.errors);
	const status = await operate(fleet, 'status');
	assert.match(status.output, /router-2 +zone-b +leaving/v);
	const answer = await answering;
	assert.equal(answer._unsafeUnwrap().tokens, 1000);
});

test('a wrong key, an unreachable platform and an unknown command are reported without printing the key', async () => {
	await using fleet = await createBriefsFleet();
	const key = 'wrong-key-that-is-not-printed';
	const platform = `http://${fleet.process('platform').address}`;
	const refused = await fleet.runProgram('azuretack-operate', ['--platform', platform, '--operator-key', key, 'status']);
	assert.equal(refused.code, 3);
	assert.match(refused.output, /router-1 +refused the operator key/v);
	const nowhere = await fleet.runProgram('azuretack-operate', ['--platform', `http://${fleet.allocate()}`, 'status'], environment);
	assert.equal(nowhere.code, 1);
	assert.match(nowhere.errors, /^the host list cannot be read: /v);
	const wrong = await operate(fleet, 'stats');
	assert.equal(wrong.code, 1);
	assert.match(wrong.errors, /unknown command "stats"; known: status, explain, usage, claim, settle, drain/v);
	const withoutPlatform = await fleet.runProgram('azuretack-operate', ['--host', fleet.hosts.get('router-1')!.entry!.operators, 'status'], environment);
	assert.equal(withoutPlatform.code, 0, withoutPlatform.errors);
	for (const {output, errors} of [refused, nowhere, wrong, withoutPlatform]) {
		assert.ok(!`${output}${errors}`.includes(key) && !`${output}${errors}`.includes(operatorKey));
	}
});
