/**
 * The program that runs scenario files and prints what happened: `run-scenario.js FILE ...`.
 *
 * @module
 */
import process from 'node:process';
import {formatFault} from '../settings/mod.ts';
import {readScenario, runScenario} from './scenarios/mod.ts';

/** Runs one file; returns whether all of its steps succeeded. */
async function runFile(file: string): Promise<boolean> {
	const scenario = await readScenario(file);
	if (scenario.isErr()) {
		for (const fault of scenario.error) {
			console.error(formatFault(fault));
		}

		return false;
	}

	console.log(scenario.value.description);
	try {
		await runScenario(scenario.value, {report: console.log});
		console.log('passed');
		return true;
	} catch (error) {
		console.error(`failed: ${error instanceof Error ? error.message : String(error)}`);
		return false;
	}
}

for (const file of process.argv.slice(2)) {
	if (!await runFile(file)) {
		process.exitCode = 1;
	}
}
