/**
 * The program that searches for schedules of faults that break a promise: `explore.js --seed N [--runs K]`.
 *
 * @module
 */
import {writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import meow from 'meow';
import {exploreScenarios} from './scenarios/mod.ts';

const command = meow(`
	Usage
	  $ npm run explore -- --seed N [--runs K]

	Options
	  --seed N  Seed of the drawn schedules (default: from the time)
	  --runs K  Schedules to run (default 20)

	A failing schedule is made smaller, printed and written as a scenario file.
`, {
	importMeta: import.meta,
	flags: {seed: {type: 'number'}, runs: {type: 'number', default: 20}},
});

const seed = command.flags.seed ?? Date.now() % 1_000_000;
console.log(`seed ${seed}`);
const {runs, failure} = await exploreScenarios({seed, runs: command.flags.runs, report: console.log});
if (failure) {
	const file = path.join(tmpdir(), `explored-${seed}.jsonc`);
	const document = JSON.stringify(failure.scenario, undefined, '\t');
	await writeFile(file, document);
	console.log(document);
	console.log(`seed ${seed}: failed after ${runs} schedules: ${failure.message}`);
	console.log(`written to ${file}; run it with: node dist/testing/run-scenario.js ${file}`);
	process.exitCode = 1;
} else {
	console.log(`seed ${seed}: ${runs} schedules passed`);
}
