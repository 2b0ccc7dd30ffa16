import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	linkFault, runsOf, sendCall, startCallFleet, storeFault, type TestAnswer,
} from '../testing/call-fleet.ts';
import {Fleet} from '../testing/fleet.ts';

const seed = 20_260_714;
const runs = 18;

const faults: Record<string, (fleet: Fleet) => Promise<unknown>> = {
	none: async () => undefined,
	storeDown: async fleet => storeFault(fleet, {mode: 'down'}),
	storeDownOnce: async fleet => storeFault(fleet, {mode: 'down', requests: 1}),
	storeSlow: async fleet => storeFault(fleet, {mode: 'slow', delayMilliseconds: 150}),
	storeLate: async fleet => storeFault(fleet, {mode: 'slow', delayMilliseconds: 500, requests: 1}),
	storeLosesOneAnswer: async fleet => storeFault(fleet, {mode: 'lose_answers', requests: 1}),
	storeLosesAnswers: async fleet => storeFault(fleet, {mode: 'lose_answers', requests: 4}),
	storeSilent: async fleet => storeFault(fleet, {mode: 'silent', requests: 2}),
	storeCut: async fleet => linkFault(fleet, 'store-1', 'cut'),
	storeAnswersDropped: async fleet => linkFault(fleet, 'store-1', 'drop_answers'),
	endpointCut: async fleet => linkFault(fleet, 'endpoint-1', 'cut'),
	endpointAnswersDropped: async fleet => linkFault(fleet, 'endpoint-1', 'drop_answers'),
	async routerPaused(fleet) {
		fleet.signal('router-1', 'SIGSTOP');
		setTimeout(() => {
			fleet.signal('router-1', 'SIGCONT');
		}, 300);
	},
	/** Pauses the router between claim and send until the deadline of the claim has passed. */
	async routerPausedLong(fleet) {
		await linkFault(fleet, 'store-1', 'drop_answers');
		await delay(60);
		fleet.signal('router-1', 'SIGSTOP');
		await linkFault(fleet, 'store-1', 'up');
		setTimeout(() => {
			fleet.signal('router-1', 'SIGCONT');
		}, 2300);
	},
};

/** A schedule that reaches every run state, independent of the seed. */
const firstSchedule: Step[] = ['storeDown', 'none', 'endpointAnswersDropped'].map((fault, step) => ({
	fault, after: 0, key: step === 2 ? 1 : 0, routers: ['router-1'],
}));

const stepArbitrary = fc.record({
	fault: fc.constantFrom(...Object.keys(faults)),
	/** Delay from the start of the calls to that of the fault, in milliseconds. */
	after: fc.constantFrom(0, 0, 5, 15),
	key: fc.integer({min: 0, max: 1}),
	routers: fc.constantFrom(['router-1'], ['router-1'], ['router-2'], ['router-1', 'router-2'], ['router-1', 'router-1', 'router-2']),
});

type Step = {fault: string; after: number; key: number; routers: readonly string[]};

async function clearFaults(fleet: Fleet): Promise<void> {
	await storeFault(fleet, {mode: 'up'});
	await linkFault(fleet, 'store-1', 'up');
	await linkFault(fleet, 'endpoint-1', 'up');
}

async function runStep(fleet: Fleet, step: Step, key: string, firstAttempt: boolean): Promise<TestAnswer[]> {
	const inject = async () => {
		await delay(step.after);
		await faults[step.fault]!(fleet);
	};

	const injected = inject();
	if (step.after === 0 && step.fault !== 'routerPausedLong') {
		await injected;
	}

	const answers = await Promise.all(step.routers.map(async router => sendCall(fleet, {
		router: router as 'router-1', key, firstAttempt: firstAttempt && step.routers.length === 1,
	})));
	await injected;
	await clearFaults(fleet);
	return answers;
}

test('under random fault schedules a key runs at most once, and after run "no" the call has not run and a repeat succeeds', async context => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 1});
	let schedule = 0;
	const seen: Record<string, number> = {};
	await fc.assert(fc.asyncProperty(fc.array<Step>(stepArbitrary, {minLength: 2, maxLength: 5}), async steps => {
		schedule += 1;
		const lastRuns = new Map<string, string[]>();
		for (const step of steps) {
			const key = `schedule-${schedule}-key-${step.key}`;
			const mayHaveRun = (lastRuns.get(key) ?? []).some(run => run !== 'no');
			const answers = await runStep(fleet, step, key, !mayHaveRun);
			const states = answers.map(answer => answer.run);
			const count = await runsOf(fleet, key);
			assert.ok(count <= 1, `${key} ran ${count} times`);
			assert.ok(count === 1 || !states.includes('yes'), `${key} was reported as run but has not run`);
			if (states.every(state => state === 'no')) {
				assert.equal(count, 0, `${key} was reported as not run but has run`);
			}

			lastRuns.set(key, [...lastRuns.get(key) ?? [], ...states]);
			for (const state of states) {
				seen[state] = (seen[state] ?? 0) + 1;
			}
		}

		for (const [key, states] of lastRuns) {
			if (states.every(state => state === 'no')) {
				const repeat = await sendCall(fleet, {key});
				assert.equal(repeat.status, 201, `${key} was not run, but its repeat got ${repeat.text}`);
			}

			assert.ok(await runsOf(fleet, key) <= 1);
		}
	}), {
		seed, numRuns: runs, endOnFailure: true, examples: [[firstSchedule]],
	});
	context.diagnostic(`seed ${seed}, ${runs} schedules, run states ${JSON.stringify(seen)}`);
	assert.ok((seen.no ?? 0) > 0 && (seen.yes ?? 0) > 0 && (seen.unknown ?? 0) > 0, 'the schedules reach every run state');
});
