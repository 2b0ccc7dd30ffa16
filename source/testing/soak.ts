/**
 * The program that plays the soak: `soak.js --seed N`, or `soak.js FILE` for a regression case.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import meow from 'meow';
import {
	drawPlan, playSoak, shortenPlan, soakPlanSchema, type SoakPlan,
} from './soak/mod.ts';

const command = meow(`
	Usage
	  $ npm run soak -- [FILE] [--seed N] [--runs K] [--minutes M] [--processes P] [--shorten K] [--quiet]

	Options
	  --seed N       Seed of the first schedule (default: from the time); the next ones follow it
	  --runs K       Schedules to play (default 1)
	  --minutes M    Time in which faults start, in each schedule (default 0.3)
	  --processes P  Gateways (default 5)
	  --shorten K    Schedules to play at most to make a failing one smaller (default 0)
	  --quiet        Leave out the lines on faults

	A schedule that breaks a promise is printed, with the story of the request that shows it.
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number'},
		runs: {type: 'number', default: 1},
		minutes: {type: 'number', default: 0.3},
		processes: {type: 'number', default: 5},
		shorten: {type: 'number', default: 0},
		quiet: {type: 'boolean', default: false},
	},
});

const {flags} = command;

/** Plays one schedule; returns whether it kept all promises. */
async function play(plan: SoakPlan): Promise<boolean> {
	const started = performance.now();
	const report = flags.quiet
		? () => undefined
		: (line: string) => {
			console.log(`${((performance.now() - started) / 1000).toFixed(1)} s: ${line}`);
		};

	const {finding, requests, served, runs, statuses, lags} = await playSoak(plan, {report});
	const verdict = finding ? `broken: ${finding.check}: ${finding.attempt ?? ''} ${finding.message}` : 'kept';
	console.log(`seed ${plan.seed}: ${verdict}; ${requests} requests, ${served} served, ${runs} runs, ${plan.faults.length} faults, ${lags} lags, statuses ${JSON.stringify(statuses)}`);
	if (!finding) {
		return true;
	}

	console.log(finding.story.join('\n'));
	const shorter = await shortenPlan(plan, async candidate => {
		const result = await playSoak(candidate, {report: () => undefined});
		return result.finding?.check === finding.check;
	}, flags.shorten);
	console.log(JSON.stringify({...shorter, description: `${finding.check}: ${finding.message}`}));
	return false;
}

async function plans(): Promise<SoakPlan[]> {
	const [file] = command.input;
	if (file !== undefined) {
		return [soakPlanSchema.parse(JSON.parse(await readFile(file, 'utf8')))];
	}

	const seed = flags.seed ?? Date.now() % 1_000_000;
	return Array.from({length: flags.runs}, (_unused, index) => drawPlan({seed: seed + index, gateways: flags.processes, faultMilliseconds: flags.minutes * 60_000}));
}

const broken: number[] = [];
for (const plan of await plans()) {
	if (!await play(plan)) {
		broken.push(plan.seed);
	}
}

console.log(broken.length > 0 ? `broken: seeds ${broken.join(', ')}` : 'all promises kept');
process.exitCode = broken.length > 0 ? 1 : 0;
