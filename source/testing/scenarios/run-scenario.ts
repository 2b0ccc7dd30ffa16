/**
 * Runs a scenario step by step.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Fleet} from '../fleet.ts';
import {ScenarioRun} from './_scenario-run.ts';
import {actions, expectations} from './_verbs.ts';
import {type Scenario} from './scenario.ts';

/** Time for an event that a step waits for, in milliseconds. */
const eventMilliseconds = 60_000;

/** Options of {@linkcode runScenario}. */
export type RunScenarioOptions = {
	/** Receives one line for each step. Default drops them. */
	report?: (line: string) => void;
};

type Step = Scenario['steps'][number];

/**
 * Starts the scenario's fleet, runs its steps and ends the fleet.
 *
 * @param scenario The scenario.
 * @param options Receiver of the report.
 * @throws {Error} When a step or an expectation fails; the message names the step.
 * @example
 * ```ts
 * await runScenario(scenario, {report: console.log});
 * ```
 */
export async function runScenario(scenario: Scenario, options: RunScenarioOptions = {}): Promise<void> {
	const report = options.report ?? (() => undefined);
	await using fleet = await Fleet.create(scenario.fleet.platform);
	const run = new ScenarioRun(scenario, fleet);
	await run.startFleet();
	report(`fleet of ${fleet.processes.size} processes is ready`);
	const startedAt = performance.now();
	for (const [index, step] of scenario.steps.entries()) {
		const label = `step ${index + 1} (${String(step.do?.action ?? step.expect?.fact)})`;
		try {
			await waitForStep(step, run, startedAt);
			const happened = await runStep(step, run);
			report(`${Math.round(performance.now() - startedAt)} ms: ${label}: ${happened}`);
		} catch (error) {
			throw new Error(`${label}: ${error instanceof Error ? error.message : String(error)}`, {cause: error});
		}
	}
}

async function runStep(step: Step, run: ScenarioRun): Promise<string> {
	const {do: action, expect: expectation} = step;
	if (action) {
		return actions[String(action.action)]!.handle(action, run);
	}

	return expectations[String(expectation!.fact)]!.handle(expectation, run);
}

async function waitForStep({at, after}: Step, run: ScenarioRun, startedAt: number): Promise<void> {
	if (at !== undefined) {
		await delay(Math.max(0, at - (performance.now() - startedAt)));
	}

	if (after === undefined) {
		return;
	}

	const [name = '', event, number] = after.split(' ');
	const request = run.request(name);
	const happened = () => event === 'token' && request.kind === 'generation' ? request.tokens > Number(number) : request.answered;
	await run.fleet.until(() => happened() || request.answered, after, eventMilliseconds);
	if (!happened()) {
		throw new Error(`"${name}" was answered before the event "${after}"`);
	}
}
