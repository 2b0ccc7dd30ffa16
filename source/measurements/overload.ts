/**
 * Measures goodput and fairness under overload, and the time until steady after an outage, with real processes.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {xoroshiro128plus, unsafeUniformIntDistribution} from 'pure-rand';
import {complete, type EntryList} from '../client/mod.ts';
import {Fleet, workspacesFile} from '../testing/fleet.ts';

/** Options of {@linkcode measureOverload}. */
export type OverloadOptions = {
	/** Offered load as multiples of the engines' capacity. Default 0.5, 1, 2 and 4. */
	loads?: number[];
	/** Whether admission is on; the baseline is measured with it off. Default both. */
	admission?: boolean[];
	/** Length of each measurement after its warm-up, in seconds. Default 12. */
	seconds?: number;
	/** Length of the outage, in seconds; 0 leaves it out. Default 30. */
	outageSeconds?: number;
	/** Seed of the arrivals. Default 1. */
	seed?: number;
};

/** One figure. */
export type OverloadRow = {
	admission: boolean;
	/** What was measured. */
	name: string;
	/** Offered load as a multiple of the capacity. */
	load: number;
	value: number;
	unit: string;
};

const engines = 4;
const routers = 3;
const batchSize = 8;
const stepMilliseconds = 20;
const outputTokens = 40;
const prompt = 'Please draft a short brief for this clan';
const promptTokens = Math.ceil(prompt.length / 4);
const capacity = engines * batchSize / stepMilliseconds * 1000 / outputTokens;
const patienceMilliseconds = 10_000;
const warmUpSeconds = 6;
const steadyShare = 0.9;
const quietWorkspaces = ['one', 'two', 'three', 'four'];
const flood = 'flood';

/** Share of its fair share that each quiet workspace asks for. */
const quietDemand = 0.9;

type Answered = {workspace: string; at: number; askedAt: number; whole: boolean};

/**
 * Measures every load with admission on and off, then an outage.
 *
 * @param options Loads and lengths.
 * @returns One row for each figure.
 * @example
 * ```ts
 * console.table(await measureOverload());
 * ```
 */
export async function measureOverload(options: OverloadOptions = {}): Promise<OverloadRow[]> {
	const {
		loads = [0.5, 1, 2, 4], admission = [true, false], seconds = 12, outageSeconds = 30, seed = 1,
	} = options;
	const rows: OverloadRow[] = [];
	for (const enabled of admission) {
		for (const load of loads) {
			await using fleet = await createFleet(enabled);
			rows.push(...await measureLoad(fleet, {
				enabled, load, seconds, seed,
			}));
		}

		if (outageSeconds > 0) {
			await using fleet = await createFleet(enabled);
			rows.push(...await measureOutage(fleet, enabled, outageSeconds, seed));
		}
	}

	return rows;
}

const engineOptions = {stepMilliseconds, batchSize};

async function createFleet(enabled: boolean): Promise<Fleet> {
	const fleet = await Fleet.create();
	for (let index = 0; index < engines; index += 1) {
		await fleet.startEngine(`engine-${index}`, 'briefs', engineOptions, {availabilityZone: `zone-${'abcd'[index % 4]}`});
	}

	for (let index = 0; index < routers; index += 1) {
		await fleet.startRouter(`router-${index}`, {admission: {enabled}, log: {level: 'warn'}});
	}

	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {
			service: 'briefs',
			kind: 'model',
			model: {name: 'model', version: 'v1'},
			deadlineSeconds: patienceMilliseconds / 1000,
			engineTokens: Math.ceil(batchSize * (outputTokens + promptTokens) * 1.25),
		},
		'all.workspaces.jsonc': workspacesFile(Object.fromEntries([...quietWorkspaces, flood].map(workspace => [workspace, {key: keyOf(workspace)}]))),
	});
	if (published.code !== 0) {
		throw new Error(published.errors);
	}

	await fleet.waitUntilReady();
	return fleet;
}

function keyOf(workspace: string): string {
	return `key-of-workspace-${workspace}`;
}

/** Requests a second of each workspace at an offered load. */
function demands(load: number): Map<string, number> {
	const fair = capacity / (quietWorkspaces.length + 1);
	const quiet = Math.min(load, 1) * fair * quietDemand;
	const rest = (load * capacity) - (quiet * quietWorkspaces.length);
	return new Map([...quietWorkspaces.map(workspace => [workspace, quiet] as const), [flood, rest]]);
}

type LoadOptions = {enabled: boolean; load: number; seconds: number; seed: number};

async function measureLoad(fleet: Fleet, {enabled, load, seconds, seed}: LoadOptions): Promise<OverloadRow[]> {
	const callers = new Callers(fleet, seed);
	const startedAt = performance.now();
	await callers.run(demands(load), startedAt + ((warmUpSeconds + seconds) * 1000));
	const from = startedAt + (warmUpSeconds * 1000);
	const to = from + (seconds * 1000);
	const row = (name: string, value: number, unit: string): OverloadRow => ({
		admission: enabled, name, load, value: Math.round(value * 1000) / 1000, unit,
	});
	const rows = [row('goodput', callers.wholeBetween(from, to).length / seconds / capacity, 'share of capacity')];
	let worst = 1;
	for (const workspace of quietWorkspaces) {
		const asked = callers.askedBetween(workspace, from, to);
		const answered = callers.answers.filter(answer => answer.workspace === workspace && answer.whole && isBetween(answer.askedAt, from, to)).length;
		worst = Math.min(worst, answered / asked);
	}

	const refusals = callers.refusalMilliseconds.toSorted((left, right) => left - right);
	return [
		...rows,
		row('worst_quiet_workspace_answered', worst, 'share of its requests'),
		row('refusals', refusals.length, 'refusals'),
		row('refusal_p99', refusals[Math.floor(refusals.length * 0.99)] ?? 0, 'milliseconds'),
	];
}

async function measureOutage(fleet: Fleet, enabled: boolean, outageSeconds: number, seed: number): Promise<OverloadRow[]> {
	const load = 0.8;
	const callers = new Callers(fleet, seed);
	const startedAt = performance.now();
	const downAt = startedAt + (warmUpSeconds * 2 * 1000);
	const upAt = downAt + (outageSeconds * 1000);
	const endAt = upAt + 30_000;
	const calls = callers.run(demands(load), endAt);
	await delay(downAt - performance.now());
	for (let index = 0; index < engines; index += 1) {
		fleet.signal(`engine-${index}`, 'SIGKILL');
	}

	await delay(upAt - performance.now());
	await Promise.all(Array.from({length: engines}, async (_, index) => {
		const name = `engine-${index}`;
		await fleet.startStandIn('engine', name, engineOptions, fleet.process(name).address);
	}));
	const backAt = performance.now();
	await calls;
	const before = callers.wholeBetween(startedAt + (warmUpSeconds * 1000), downAt).length / warmUpSeconds;
	const after = callers.wholeBetween(backAt + 5000, endAt).length / ((endAt - backAt - 5000) / 1000);
	let steadySeconds = Number.POSITIVE_INFINITY;
	for (let second = 0; second < 25; second += 1) {
		const from = backAt + (second * 1000);
		if (callers.wholeBetween(from, from + 3000).length / 3 >= steadyShare * before) {
			steadySeconds = second;
			break;
		}
	}

	return [
		{
			admission: enabled, name: 'steady_after_outage', load, value: steadySeconds, unit: 'seconds until 3 s at 90% of before',
		},
		{
			admission: enabled,
			name: 'goodput_after_outage',
			load,
			value: Math.round(after / before * 100) / 100,
			unit: 'share of before, from 5 s on',
		},
	];
}

function isBetween(time: number, from: number, to: number): boolean {
	return time >= from && time < to;
}

/** Callers that ask at their own pace, whatever becomes of their requests. */
class Callers {
	readonly answers: Answered[] = [];
	readonly refusalMilliseconds: number[] = [];
	readonly #asked: Array<{workspace: string; at: number}> = [];
	readonly #addresses: string[];
	readonly #generator;

	constructor(fleet: Fleet, seed: number) {
		this.#generator = xoroshiro128plus(seed);
		this.#addresses = Array.from({length: routers}, (_, index) => fleet.hosts.get(`router-${index}`)!.entry!.callers);
	}

	/** Asks until a time and waits for every answer. */
	async run(demand: ReadonlyMap<string, number>, until: number): Promise<void> {
		await Promise.all([...demand].map(async ([workspace, perSecond]) => this.#arrive(workspace, perSecond, until)));
	}

	wholeBetween(from: number, to: number): Answered[] {
		return this.answers.filter(({whole, at}) => whole && at >= from && at < to);
	}

	askedBetween(name: string, from: number, to: number): number {
		return this.#asked.filter(({workspace, at}) => workspace === name && at >= from && at < to).length;
	}

	async #arrive(workspace: string, perSecond: number, until: number): Promise<void> {
		const calls: Array<Promise<void>> = [];
		for (let next = performance.now(); next < until; next += -Math.log(this.#uniform()) / perSecond * 1000) {
			await delay(Math.max(0, next - performance.now()));
			calls.push(this.#ask(workspace));
		}

		await Promise.all(calls);
	}

	async #ask(workspace: string): Promise<void> {
		const askedAt = performance.now();
		this.#asked.push({workspace, at: askedAt});
		let attemptAt = askedAt;
		const entries = {
			ordered: async () => {
				attemptAt = performance.now();
				return [this.#addresses[Math.floor(this.#uniform() * routers)]!];
			},
			failed: () => {
				this.refusalMilliseconds.push(performance.now() - attemptAt);
			},
		} as unknown as EntryList;
		const answer = await complete({
			entries,
			key: keyOf(workspace),
			deadlineMilliseconds: patienceMilliseconds,
			request: {model: 'briefs', prompt: `${prompt} ${Math.floor(this.#uniform() * 1e6)}`, max_tokens: outputTokens},
		});
		const at = performance.now();
		this.answers.push({
			workspace, askedAt, at, whole: answer.isOk() && at - askedAt <= patienceMilliseconds,
		});
	}

	#uniform(): number {
		return unsafeUniformIntDistribution(1, 2 ** 30, this.#generator) / (2 ** 30);
	}
}
