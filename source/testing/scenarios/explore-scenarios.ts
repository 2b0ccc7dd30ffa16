/**
 * Searches for a schedule of faults that breaks a promise.
 *
 * @module
 */
import fc from 'fast-check';
import {drawScenario} from './draw-scenario.ts';
import {runScenario} from './run-scenario.ts';
import {scenarioSchema, type ScenarioDocument} from './scenario.ts';

/** Options of {@linkcode exploreScenarios}. */
export type ExploreOptions = {
	/** Seed of the drawing; the same seed draws the same scenarios. */
	seed: number;
	/** Scenarios to run. */
	runs: number;
	/** Time for the whole search and for making a failing scenario smaller, in milliseconds. Default 600,000. */
	timeoutMilliseconds?: number;
	/** Receives one line for each scenario. Default drops them. */
	report?: (line: string) => void;
};

/** What a search found. */
export type Exploration = {
	/** Scenarios run, without those that made a failing one smaller. */
	runs: number;
	/** The smallest failing scenario and its failure. */
	failure?: {scenario: ScenarioDocument; message: string};
};

/**
 * Draws and runs scenarios until one fails, and then makes that one smaller.
 *
 * @param options Seed and number of scenarios.
 * @example
 * ```ts
 * const {failure} = await exploreScenarios({seed: 1, runs: 20});
 * ```
 */
export async function exploreScenarios(options: ExploreOptions): Promise<Exploration> {
	const {seed, runs, timeoutMilliseconds = 600_000, report = () => undefined} = options;
	const property = fc.asyncProperty(drawScenario(`explored with seed ${seed}`), async document => {
		const actions = document.steps.flatMap(step => step.do ? [String(step.do.action)] : []);
		report(`runs ${actions.join(', ')}`);
		await runScenario(scenarioSchema.parse(document));
	});
	const details = await fc.check(property, {seed, numRuns: runs, plugins: [fc.interruptAfterTimeLimit(timeoutMilliseconds)]});
	if (!details.failed || !details.counterexample) {
		return {runs: details.numRuns};
	}

	const message = details.errorInstance instanceof Error ? details.errorInstance.message : String(details.errorInstance);
	return {runs: details.numRuns, failure: {scenario: (details.counterexample as [ScenarioDocument])[0], message}};
}
