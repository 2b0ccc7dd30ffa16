/**
 * Measures how long output pauses after a loss, and the work that a loss costs beyond an undisturbed run.
 *
 * @module
 */
import {build} from 'hdr-histogram-js';
import {complete} from '../client/mod.ts';
import {testKey} from '../testing/fleet.ts';
import {splitTokens} from '../testing/stand-ins/expected-text.ts';
import {type Measurement, type MeasurementRow} from './measurement.ts';
import {failureKinds, RecoveryBench, type FailureKind} from './_recovery-bench.ts';
import {callWithRestarts} from './_restarting-caller.ts';

/** Engines of each size that is measured. */
const workloads = {small: 12, large: 25};

const policies = ['latency', 'cost'] as const;

/** Generations in progress for each engine. */
const generationsPerEngine = 2;

/** Tokens of each answer. */
const tokens = 120;

/** Words of each prompt. */
const promptWords = 200;

/** Tokens that every caller has received when the failure is injected. */
const tokensBeforeFailure = 30;

/** Batches for each kind of failure. */
const repetitions = 2;

/** Time after which the baseline's caller gives up a silent connection, in milliseconds; the same as the reference client's. */
const baselineSilenceMilliseconds = 2500;

/** One caller of a batch. */
type Caller = {prompt: string; received: number; address: string | undefined; lastAt: number; longestGap: number};

/** Sends one caller's request; ends with the answer. */
type Send = (bench: RecoveryBench, caller: Caller, index: number, onToken: (address: string) => void) => Promise<void>;

type Batch = {gaps: number[]; extraTokens: number; disturbed: number; failed: number; tokensAtFailure: number};

type Case = {workload: string; policy: (typeof policies)[number]; kind: FailureKind};

let promptsMade = 0;

/** Measures every workload, policy and kind of failure. */
export const measureRecovery: Measurement = async report => {
	const rows: MeasurementRow[] = [];
	for (const [workload, engines] of Object.entries(workloads)) {
		for (const policy of policies) {
			await using bench = await RecoveryBench.create(engines, policy);
			for (const kind of failureKinds) {
				const batches: Batch[] = [];
				for (let repetition = 0; repetition < repetitions; repetition += 1) {
					batches.push(await runBatch(bench, kind, sendThroughEntries));
				}

				const baseline = await runBatch(bench, kind, kind.startsWith('router') ? restartAtEntries : restartAtEngines);
				const added = rowsOf({workload, policy, kind}, batches, [baseline]);
				rows.push(...added);
				report(added.map(({name, value, baseline: base}) => `${name} ${Math.round(value)} (baseline ${Math.round(base ?? 0)})`).join('; '));
			}
		}
	}

	return rows;
};

const sendThroughEntries: Send = async (bench, {prompt}, index, onToken) => {
	const answer = await complete({
		entries: bench.fleet.entries(`router-${1 + (index % 3)}`),
		key: testKey,
		request: {
			model: 'briefs', prompt, max_tokens: tokens, seed: 1,
		},
		deadlineMilliseconds: 60_000,
		onToken(_text, _index, address) {
			onToken(address);
		},
	});
	if (answer.isErr()) {
		throw new Error(answer.error.message);
	}
};

const restartAtEntries: Send = async (bench, {prompt}, index, onToken) => callWithRestarts({
	addresses: rotate(bench.entryAddresses, index),
	body: {
		model: 'briefs', prompt, max_tokens: tokens, seed: 1,
	},
	tokens,
	silenceMilliseconds: baselineSilenceMilliseconds,
	onProgress(_index, address) {
		onToken(address);
	},
});

const restartAtEngines: Send = async (bench, {prompt}, index, onToken) => callWithRestarts({
	addresses: rotate([...bench.linkAddresses.values()], index),
	body: {
		generation: `baseline-${promptsMade}-${index}`, model: 'model', version: 'v1', prompt, max_tokens: tokens, seed: 1,
	},
	tokens,
	silenceMilliseconds: baselineSilenceMilliseconds,
	onProgress(_index, address) {
		onToken(address);
	},
});

/** Runs a batch of generations and injects one failure while all of them run. */
async function runBatch(bench: RecoveryBench, kind: FailureKind, send: Send): Promise<Batch> {
	const callers: Caller[] = Array.from({length: bench.engines.length * generationsPerEngine}, () => ({
		prompt: makePrompt(), received: 0, address: undefined, lastAt: performance.now(), longestGap: 0,
	}));
	const before = await bench.work();
	let injectedAt = Number.POSITIVE_INFINITY;
	const sent = callers.map(async (caller, index) => send(bench, caller, index, address => {
		const now = performance.now();
		if (now > injectedAt) {
			caller.longestGap = Math.max(caller.longestGap, now - caller.lastAt);
		}

		Object.assign(caller, {received: caller.received + 1, lastAt: now, address});
	}));
	const answers = Promise.allSettled(sent);
	await Promise.race([
		bench.fleet.until(() => callers.every(({received}) => received >= tokensBeforeFailure), 'every generation runs', 60_000),
		Promise.all(sent),
	]);
	const {name, disturbed} = await chooseVictim(bench, kind, callers);
	const tokensAtFailure = sum(disturbed.map(({received}) => received)) / disturbed.length;
	await bench.inject(kind, name);
	injectedAt = performance.now();
	const settled = await answers;
	await bench.settle(kind, name);
	const after = await bench.work();
	await bench.repair(kind, name);
	const undisturbed = callers.length * (splitTokens(callers[0]!.prompt).length + tokens);
	return {
		gaps: disturbed.map(({longestGap}) => longestGap),
		extraTokens: sum([...after].map(([engine, work]) => work - before.get(engine)!)) - undisturbed,
		disturbed: disturbed.length,
		failed: settled.filter(({status}) => status === 'rejected').length,
		tokensAtFailure,
	};
}

/** Chooses the process that fails, and the callers whom that disturbs. */
async function chooseVictim(bench: RecoveryBench, kind: FailureKind, callers: Caller[]): Promise<{name: string; disturbed: Caller[]}> {
	if (kind.startsWith('router')) {
		const name = 'router-2';
		const {address} = bench.fleet.process(name);
		return {name, disturbed: callers.filter(caller => caller.address === address)};
	}

	const name = bench.engines[promptsMade % bench.engines.length]!;
	const prompts = await bench.promptsOn(name);
	return {name, disturbed: callers.filter(({prompt}) => prompts.has(prompt))};
}

function rowsOf({workload, policy, kind}: Case, batches: Batch[], baselines: Batch[]): MeasurementRow[] {
	const name = `${workload}, ${policy}, ${kind}`;
	const work = promptWords + (sum(batches.map(({tokensAtFailure}) => tokensAtFailure)) / batches.length);
	const extraTarget = kind === 'connection silent' ? '0' : `at most ${Math.round(work)}`;
	return [
		{
			name: `${name}: resume p50`, value: percentile(batches, 50), baseline: percentile(baselines, 50), unit: 'ms', target: policy === 'latency' ? 'under 1000' : 'within 5000',
		},
		{
			name: `${name}: resume p99`, value: percentile(batches, 99), baseline: percentile(baselines, 99), unit: 'ms', target: 'within 5000',
		},
		{
			name: `${name}: extra work of one loss`, value: extra(batches), baseline: extra(baselines), unit: 'tokens', target: policy === 'cost' ? extraTarget : undefined,
		},
		{
			name: `${name}: answers not whole`, value: sum(batches.map(({failed}) => failed)), baseline: sum(baselines.map(({failed}) => failed)), unit: 'answers', target: '0',
		},
		{
			name: `${name}: disturbed generations`, value: sum(batches.map(({disturbed}) => disturbed)), baseline: sum(baselines.map(({disturbed}) => disturbed)), unit: 'generations',
		},
	];
}

function percentile(batches: Batch[], percent: number): number {
	const histogram = build();
	for (const gap of batches.flatMap(({gaps}) => gaps)) {
		histogram.recordValue(Math.round(gap));
	}

	return histogram.getValueAtPercentile(percent);
}

function extra(batches: Batch[]): number {
	return sum(batches.map(({extraTokens}) => extraTokens)) / Math.max(1, sum(batches.map(({disturbed}) => disturbed)));
}

function makePrompt(): string {
	promptsMade += 1;
	return Array.from({length: promptWords}, (_, index) => `word${promptsMade}x${index}`).join(' ');
}

function rotate<Value>(values: Value[], by: number): Value[] {
	const start = by % values.length;
	return [...values.slice(start), ...values.slice(0, start)];
}

function sum(values: number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
