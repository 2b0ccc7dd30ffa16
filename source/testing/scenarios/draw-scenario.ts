/**
 * Draws scenarios: several generations over a small fleet, disturbed by a sequence of faults.
 *
 * @module
 */
import fc from 'fast-check';
import {type ScenarioDocument} from './scenario.ts';

type StepDocument = ScenarioDocument['steps'][number];

/** Engines and routers of the fleet; faults spare the last of each, so that every generation can go on. */
const engineNames = ['engine-1', 'engine-2', 'engine-3'];
const routerNames = ['router-1', 'router-2', 'router-3'];

/** Time over which the requests are sent, in milliseconds. */
const requestMilliseconds = 2000;

/** Time over which the faults are spread, in milliseconds. */
const faultMilliseconds = 4000;

/** Tokens of one answer. */
const tokens = 150;

/** Time of one decoding step of the engines, in milliseconds. */
const stepMilliseconds = 20;

/** Time that each caller waits for its answer; faults may follow one another, so that no single resume time is stated. */
const deadlineSeconds = 25;

/** A fault and the time at which it is injected. */
type DrawnFault = {at: number; action: Record<string, unknown> & {action: string}};

const engine = fc.constantFrom(...engineNames.slice(0, -1));
const router = fc.constantFrom(...routerNames.slice(0, -1));
const anyProcess = fc.oneof(engine, router);

const faultActions: Array<fc.Arbitrary<DrawnFault['action']>> = [
	fc.record({action: fc.constant('kill'), process: engine}),
	fc.record({action: fc.constant('kill'), process: router}),
	fc.record({action: fc.constant('pause'), process: engine}),
	fc.record({action: fc.constant('pause'), process: anyProcess}),
	fc.record({action: fc.constant('wake'), process: anyProcess}),
	fc.record({action: fc.constant('restart'), process: anyProcess}),
	fc.record({action: fc.constant('stop'), process: router}),
	fc.record({action: fc.constant('host'), host: anyProcess, state: fc.constantFrom('live', 'leaving', 'gone')}),
	fc.record({
		action: fc.constant('link_fault'), link: anyProcess, mode: fc.constantFrom('up', 'cut', 'silent', 'silent_existing', 'drop_requests', 'drop_answers'),
	}),
	fc.record({action: fc.constant('platform_fault'), mode: fc.constantFrom('up', 'down', 'lose_answers', 'silent')}),
];

const schedule = fc.record({
	policy: fc.constantFrom('latency', 'cost'),
	generations: fc.array(fc.integer({min: 0, max: requestMilliseconds}), {minLength: 3, maxLength: 6, size: 'max'}),
	faults: fc.array(fc.record({at: fc.integer({min: 200, max: faultMilliseconds}), action: fc.oneof(...faultActions)}), {minLength: 1, maxLength: 8, size: 'max'}),
});

/**
 * Returns the arbitrary that draws scenarios; a smaller one has fewer faults and requests.
 *
 * @param description Description of each scenario.
 * @example
 * ```ts
 * await fc.assert(fc.asyncProperty(drawScenario('explored'), async scenario => runScenario(scenarioSchema.parse(scenario))));
 * ```
 */
export function drawScenario(description: string): fc.Arbitrary<ScenarioDocument> {
	return schedule.map(({policy, generations, faults}) => ({
		description,
		fleet: {
			routers: routerNames.map(name => ({name})),
			engines: engineNames.map(name => ({name, service: 'briefs', options: {stepMilliseconds}})),
			links: [...engineNames, ...routerNames].map(name => ({name: `to-${name}`, to: name})),
			services: [{
				service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}, recovery: {policy},
			}],
		},
		steps: stepsOf(generations, faults),
	}));
}

function stepsOf(generations: number[], faults: DrawnFault[]): StepDocument[] {
	const requests = generations.map((at, index) => ({
		at,
		do: {
			action: 'generate', name: `letter-${index + 1}`, service: 'briefs', tokens, deadlineSeconds,
		},
	}));
	const injections = faults.map(({at, action}) => ({at, do: action}));
	const checks = requests.flatMap(({do: {name}}) => [
		{expect: {fact: 'truthful_answer', request: name}},
		{expect: {fact: 'whole_answer', request: name, resumesWithinSeconds: deadlineSeconds}},
	]);
	return [...[...requests, ...injections].toSorted((left, right) => left.at - right.at), ...checks];
}
