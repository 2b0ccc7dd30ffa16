/**
 * Measures the time and the processor time that one router adds to each token, against a bare pipe and no hop at all.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {request as send, type IncomingMessage} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {Fleet, testKey, workspacesFile} from '../testing/fleet.ts';
import {type Measurement, type MeasurementRow} from './measurement.ts';

/** Streams in progress. */
const streams = 230;

/** Time between two tokens of one stream, in milliseconds; with the streams it gives 4,600 tokens a second. */
const stepMilliseconds = 50;

/** Tokens of each stream. */
const tokens = 260;

/** Time over which the streams are started, so that their tokens are spread, in milliseconds. */
const spreadMilliseconds = 2000;

/** Processes that send tokens. */
const sources = 4;

/** Time for which tokens count, from when all streams run, in milliseconds. */
const measuredMilliseconds = 8000;

/** One clock tick of `/proc`, in milliseconds. */
const tickMilliseconds = 10;

/** What was measured on one path. */
type PathFigures = {latency: Histogram; tokensPerSecond: number; processorMicroseconds: number};

/** Measures the three paths one after the other. */
export const measureTokenPath: Measurement = async report => {
	await using fleet = await Fleet.create();
	const sourceAddresses = await startSources(fleet);
	const pipes = await startPipes(fleet, sourceAddresses);
	await startRouter(fleet, sourceAddresses);
	const router = fleet.process('router-1');
	const body = {
		generation: 'g', attempt: 1, model: 'model', version: 'v1', prompt: 'p', max_tokens: tokens, seed: 1,
	};
	const direct = await measurePath(sourceAddresses, index => ({...body, generation: `d${index}`}), []);
	report('caller straight at the engines: done');
	const piped = await measurePath(pipes.addresses, index => ({...body, generation: `p${index}`}), [pipes.child]);
	report('bare pipe: done');
	const routed = await measurePath([router.address], () => ({
		model: 'briefs', prompt: 'p', max_tokens: tokens, stream: true,
	}), [router.child]);
	report('router: done');
	return rowsOf(direct, piped, routed);
};

function rowsOf(direct: PathFigures, piped: PathFigures, routed: PathFigures): MeasurementRow[] {
	const rows: MeasurementRow[] = [50, 99].map(percent => ({
		name: `time added by the router, p${percent}`,
		value: latencyOf(routed, percent) - latencyOf(direct, percent),
		baseline: latencyOf(piped, percent) - latencyOf(direct, percent),
		unit: 'ms',
		target: percent === 99 ? 'under 1' : undefined,
	}));
	for (const [name, figures] of Object.entries({'straight at the engines': direct, 'bare pipe': piped, router: routed})) {
		rows.push(
			{name: `${name}: token rate`, value: figures.tokensPerSecond, unit: 'tokens/s'},
			{name: `${name}: time of a token, p50`, value: latencyOf(figures, 50), unit: 'ms'},
			{name: `${name}: time of a token, p99`, value: latencyOf(figures, 99), unit: 'ms'},
		);
	}

	rows.push({
		name: 'processor time of a token', value: routed.processorMicroseconds, baseline: piped.processorMicroseconds, unit: 'us',
	});
	return rows;
}

function latencyOf({latency}: PathFigures, percent: number): number {
	return latency.getValueAtPercentile(percent) / 1000;
}

async function startSources(fleet: Fleet): Promise<string[]> {
	const addresses: string[] = [];
	for (let number = 1; number <= sources; number += 1) {
		const address = fleet.allocate();
		await startProgram(fleet, `source-${number}`, '_token-source.js', [address, String(stepMilliseconds)]);
		addresses.push(address);
	}

	return addresses;
}

/** Starts one pipe process, as there is one router, with a port for each source. */
async function startPipes(fleet: Fleet, targets: string[]): Promise<{addresses: string[]; child: ChildProcess}> {
	const addresses = targets.map(() => fleet.allocate());
	const parameters = targets.flatMap((target, index) => [addresses[index]!, target]);
	return {addresses, child: await startProgram(fleet, 'pipe', '_byte-pipe.js', parameters)};
}

async function startProgram(fleet: Fleet, name: string, file: string, parameters: string[]): Promise<ChildProcess> {
	const child = spawn(process.execPath, [path.join(import.meta.dirname, file), ...parameters], {stdio: ['ignore', 'pipe', 'inherit']});
	fleet.processes.set(name, {
		name, address: parameters[0]!, child, log: [],
	});
	await once(child.stdout, 'data');
	return child;
}

async function startRouter(fleet: Fleet, sourceAddresses: string[]): Promise<void> {
	for (const [index, address] of sourceAddresses.entries()) {
		fleet.addHost({
			name: `source-${index + 1}`, availabilityZone: 'zone-a', region: 'home', state: 'live', endpoints: [{service: 'briefs', address}],
		});
	}

	await fleet.startRouter('router-1', {log: {level: 'info'}});
	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {
			service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'},
		},
		'all.workspaces.jsonc': workspacesFile(),
	});
	if (published.code !== 0) {
		throw new Error(published.errors);
	}

	await fleet.waitUntilReady();
}

/** Runs all streams over a path and measures while all of them run. */
async function measurePath(addresses: string[], bodyOf: (index: number) => unknown, hops: ChildProcess[]): Promise<PathFigures> {
	const latency = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	const state = {measuring: false};
	const running = Array.from({length: streams}, async (_, index) => {
		await delay((index / streams) * spreadMilliseconds);
		await readStream(addresses[index % addresses.length]!, bodyOf(index), microseconds => {
			if (state.measuring) {
				latency.recordValue(Math.max(0, Math.round(microseconds)));
			}
		});
	});
	await delay(spreadMilliseconds + (stepMilliseconds * 10));
	const before = await processorMilliseconds(hops);
	const startedAt = performance.now();
	state.measuring = true;
	await delay(measuredMilliseconds);
	state.measuring = false;
	const seconds = (performance.now() - startedAt) / 1000;
	const spent = await processorMilliseconds(hops) - before;
	await Promise.all(running);
	return {latency, tokensPerSecond: latency.totalCount / seconds, processorMicroseconds: (spent * 1000) / latency.totalCount};
}

/** Reads the time stamps of one stream, with as little work as possible. */
async function readStream(address: string, body: unknown, onToken: (microseconds: number) => void): Promise<void> {
	const request = send(`http://${address}/v1/completions`, {method: 'POST', agent: false, headers: {authorization: `Bearer ${testKey}`, 'content-type': 'application/json'}});
	request.end(JSON.stringify(body));
	const [response] = await once(request, 'response') as [IncomingMessage];
	if (response.statusCode !== 200) {
		throw new Error(`${address} answered ${response.statusCode}`);
	}

	for await (const chunk of response) {
		const now = process.hrtime.bigint();
		for (const [, stamp] of (chunk as Uint8Array).toString().matchAll(/"text":"(?<stamp>\d+) "/gv)) {
			onToken(Number(now - BigInt(stamp!)) / 1000);
		}
	}
}

/** Processor time that processes have used, in milliseconds. */
async function processorMilliseconds(processes: ChildProcess[]): Promise<number> {
	let sum = 0;
	for (const {pid} of processes) {
		const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		sum += (Number(fields[11]) + Number(fields[12])) * tickMilliseconds;
	}

	return sum;
}
