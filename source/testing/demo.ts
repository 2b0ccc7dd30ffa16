/**
 * The main job in one run: a generation that loses its engine, one that loses its router, and a booking made twice.
 *
 * @module
 */
import process from 'node:process';
import {request} from 'undici';
import {complete, type Completion} from '../client/mod.ts';
import {Fleet, testKey, workspacesFile} from './fleet.ts';
import {expectedText} from './stand-ins/expected-text.ts';

const lore = 'Lore of the northern clans: grey banners, a frozen fjord, and the painter who must not use red.';
const seed = 11;
const tokens = 150;
const engines = ['engine-1', 'engine-2', 'engine-3'];

let failed = false;
let undisturbedWork: number | undefined;

await using fleet = await startFleet();
await runGeneration('undisturbed');
await runGeneration('engine killed midway', killBusyEngine);
await runGeneration('router killed midway', async address => {
	fleet.signal(routerAt(address), 'SIGKILL');
	return 0;
});
await bookTwice();
process.exitCode = failed ? 1 : 0;
console.log(failed ? 'demo: failed' : 'demo: every answer whole, one run of the booking');

async function startFleet(): Promise<Fleet> {
	const created = await Fleet.create();
	await Promise.all([
		created.startEngine('engine-1', 'briefs'),
		created.startEngine('engine-2', 'briefs'),
		created.startEngine('engine-3', 'briefs'),
		created.startPlain('desk-1', 'orders'),
		created.startRouter('entry-1', {}, 'zone-a'),
		created.startRouter('entry-2', {}, 'zone-b'),
		created.startRouter('entry-3', {}, 'zone-c'),
	]);
	await created.publishHosts();
	const published = await created.publish({
		'briefs.service.jsonc': {
			service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}, recovery: {policy: 'latency'},
		},
		'orders.service.jsonc': {service: 'orders', kind: 'plain', idempotentCalls: [{method: 'GET', path: '/menu'}]},
		'all.workspaces.jsonc': workspacesFile(),
	});
	console.log(published.output.trim());
	await created.waitUntilReady();
	return created;
}

/** Streams one generation and checks the whole answer against the text of an undisturbed run. */
async function runGeneration(name: string, fault?: (address: string) => Promise<number>): Promise<void> {
	const prompt = `Piece: ${name}. ${lore}`;
	const before = await Promise.all(engines.map(async engine => workOf(engine)));
	let workOfKilled: Promise<number> | undefined;
	const answer = await complete({
		entries: fleet.entries(),
		key: testKey,
		deadlineMilliseconds: 30_000,
		request: {
			model: 'briefs', prompt, max_tokens: tokens, seed,
		},
		onToken(text, index, address) {
			process.stdout.write(text);
			if (index === tokens / 2) {
				workOfKilled = fault?.(address);
			}
		},
	});
	process.stdout.write('\n');
	await workOfKilled;
	const after = await Promise.all(engines.map(async engine => workOf(engine)));
	const work = total(after) + (await workOfKilled ?? 0) - total(before);
	report({
		name, prompt, answer: answer.unwrapOr(undefined), work,
	});
}

type Outcome = {name: string; prompt: string; answer: Completion | undefined; work: number};

function report({name, prompt, answer, work}: Outcome): void {
	const whole = answer?.text === expectedText({prompt, seed, version: 'v1'}, tokens);
	failed ||= !whole;
	const gap = Math.round(answer?.longestGapMilliseconds ?? Number.NaN);
	undisturbedWork ??= work;
	console.log(`${name}: answer ${whole ? 'whole' : 'NOT WHOLE'}, longest gap ${gap} ms, ${answer?.reconnections ?? 0} reconnections, ${work - undisturbedWork} extra tokens\n`);
}

/** Books one refill twice with one key and counts its runs. */
async function bookTwice(): Promise<void> {
	for (const attempt of ['first', 'second']) {
		const [address] = await fleet.entries(...liveRouters()).listInOrder(Date.now());
		const response = await request(`http://${address}/v1/services/orders/refills`, {
			method: 'POST',
			headers: {authorization: `Bearer ${testKey}`, 'content-type': 'application/json', 'idempotency-key': 'refill-2026-001'},
			body: JSON.stringify({cafe: 'Centro', liters: 12}),
		});
		const body = await response.body.text();
		console.log(`${attempt} booking: ${response.statusCode} ${body.trim()}`);
		failed ||= response.statusCode !== 201;
	}

	const runs = await fleet.control<Record<string, number>>('desk-1', '/control/runs');
	const count = runs['refill-2026-001'] ?? 0;
	failed ||= count !== 1;
	console.log(`runs of the refill: ${count}`);
}

/** Reads the tokens of prefill and decode that an engine has computed; nothing of a dead one. */
async function workOf(engine: string): Promise<number> {
	if (fleet.process(engine).child.signalCode !== null) {
		return 0;
	}

	const work = await fleet.control<{prefillTokens: number; decodedTokens: number}>(engine, '/control/work');
	return work.prefillTokens + work.decodedTokens;
}

/** Kills the engine that decodes now; returns the work that it had done. */
async function killBusyEngine(): Promise<number> {
	const before = await Promise.all(engines.map(async engine => workOf(engine)));
	for (;;) {
		for (const [position, engine] of engines.entries()) {
			const work = await workOf(engine);
			if (work > before[position]!) {
				fleet.signal(engine, 'SIGKILL');
				await fleet.ended(engine);
				return work;
			}
		}
	}
}

function total(works: number[]): number {
	let sum = 0;
	for (const work of works) {
		sum += work;
	}

	return sum;
}

function routerAt(address: string): string {
	return [...fleet.processes.values()].find(started => started.address === address)!.name;
}

function liveRouters(): string[] {
	return [...fleet.processes.values()].filter(({name, child}) => name.startsWith('entry') && child.signalCode === null).map(({name}) => name);
}
