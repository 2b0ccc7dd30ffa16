/**
 * What a start of the gateway costs: bare Node, the program as it is compiled, and its bundle without and with V8's code cache.
 *
 * @module
 */
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {type MeasurementRow} from './measurement.ts';

const run = promisify(execFile); // eslint-disable-line @typescript-eslint/strict-void-return -- Node's own promisified form.

/** Starts of each program, of which the median counts. */
const starts = 9;

/** Target of the start of the bundle, in seconds of processor time. */
const targetSeconds = 0.35;

/** Options of Node on the hosts; a code cache holds only for the options with which it was made. */
const nodeOptions = ['--max-old-space-size=96', '--max-semi-space-size=4'];

/** Prints processor time in microseconds and the largest memory in kilobytes when a process ends. */
const usagePrinter = `process.on('exit', () => {
	const {user, system} = process.cpuUsage();
	console.log('usage', user + system, process.resourceUsage().maxRSS);
});`;

type Usage = {seconds: number; megabytes: number};

/**
 * Measures starts up to the point at which the settings are read; they have a fault, so the program ends there.
 *
 * @param report Receives lines on what is done.
 * @returns Processor time and memory of each start.
 */
export async function measureStart(report: (line: string) => void): Promise<MeasurementRow[]> {
	const folder = await mkdtemp(path.join(tmpdir(), 'azuretack-start-'));
	const settings = path.join(folder, 'faulty.jsonc');
	await writeFile(settings, '{"hostName": 5}');
	await run(process.execPath, ['deploy/bundle.mjs', folder]);
	const cache = path.join(folder, 'azuretack-gateway.cache');
	const bundle = path.join(folder, 'azuretack-gateway.cjs');
	const bare = path.join(folder, 'bare.cjs');
	await writeFile(bare, '');
	const programs: Array<[name: string, file: string]> = [
		['bare Node', bare],
		['compiled program', path.join(import.meta.dirname, '..', 'binaries', 'azuretack-gateway.js')],
		['bundle with code cache', bundle],
	];
	const usages = new Map<string, Usage>();
	for (const [name, file] of programs) {
		report(name);
		usages.set(name, await median(file, settings));
	}

	await rm(cache);
	usages.set('bundle without code cache', await median(bundle, settings));
	await rm(folder, {recursive: true});
	const node = usages.get('bare Node')!;
	return [...usages].flatMap(([name, {seconds, megabytes}]) => [
		{
			name: `${name}, processor time`, value: seconds, baseline: node.seconds, unit: 's', ...(name === 'bundle with code cache' && {target: `at most ${targetSeconds} s`}),
		},
		{
			name: `${name}, memory`, value: megabytes, baseline: node.megabytes, unit: 'MB',
		},
	]);
}

async function median(file: string, settings: string): Promise<Usage> {
	const usages: Usage[] = [];
	for (let start = 0; start < starts; start += 1) {
		usages.push(await measureOne(file, settings));
	}

	const middle = Math.floor(starts / 2);
	return {
		seconds: usages.map(({seconds}) => seconds).toSorted((left, right) => left - right)[middle]!,
		megabytes: usages.map(({megabytes}) => megabytes).toSorted((left, right) => left - right)[middle]!,
	};
}

/** What a program prints, whether it ends with a failure, as it does where its settings have a fault, or not. */
async function outputOf(programArguments: string[], settings: string): Promise<string> {
	try {
		const {stdout} = await run(process.execPath, programArguments, {env: {...process.env, AZURETACK_SETTINGS: settings}});
		return stdout;
	} catch (error) {
		return (error as {stdout: string}).stdout;
	}
}

async function measureOne(file: string, settings: string): Promise<Usage> {
	const printer = `data:text/javascript,${encodeURIComponent(usagePrinter)}`;
	const stdout = await outputOf([...nodeOptions, '--import', printer, file], settings);
	const [, microseconds, kilobytes] = /usage (?<time>\d+) (?<memory>\d+)/v.exec(stdout) ?? [];
	if (microseconds === undefined) {
		throw new Error(`${file} printed no usage`);
	}

	return {seconds: Number(microseconds) / 1_000_000, megabytes: Number(kilobytes) / 1024};
}
