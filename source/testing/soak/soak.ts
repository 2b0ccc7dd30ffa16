/**
 * Plays a schedule of faults against real gateways, with checks all the while.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Callers} from './callers.ts';
import {checks, type CheckName, type Violation} from './checks/mod.ts';
import {faultKinds} from './fault-kinds.ts';
import {contactMilliseconds, type History, type SeenRequest} from './history.ts';
import {retryBounds, type PlannedFault, type SoakPlan} from './plan.ts';
import {Random} from './random.ts';
import {tellStory} from './story.ts';
import {lateProcess, wasLate, watchLateness} from './watch-lateness.ts';
import {SoakWorld} from './world.ts';

/** Time within which requests are served again after everything was killed, in milliseconds. */
const recoverMilliseconds = 15_000;

/** Time after the other faults until all must be made good, in milliseconds. */
const settleMilliseconds = 9000;

/** Time for which requests are watched after that, in milliseconds. */
const watchMilliseconds = 4000;

/** Time between two runs of the checks, in milliseconds. */
const checkMilliseconds = 1000;

/** Most spans for which requests are watched, until this process was in time throughout one. */
const maximumWatches = 3;

/** A broken promise with its check. */
export type Finding = Violation & {check: CheckName; story: string[]};

/** How a soak ended. */
export type SoakResult = {
	finding: Finding | undefined;
	requests: number;
	served: number;
	runs: number;
	/** Answers by status; 0 where a connection ended without one. */
	statuses: Record<string, number>;
	/** Times at which this process itself was late. */
	lags: number;
};

/** Options of {@linkcode playSoak}. */
export type SoakOptions = {
	/** Receives lines on what happens. */
	report: (line: string) => void;
};

/**
 * Plays a schedule.
 *
 * @param plan What happens when.
 * @param options What to do beside.
 */
export async function playSoak(plan: SoakPlan, {report}: SoakOptions): Promise<SoakResult> {
	const random = new Random(plan.seed + 1);
	await using world = await SoakWorld.create({gateways: plan.gateways, random, retryBounds: retryBounds[plan.retries]});
	const ending = new AbortController();
	const lags = watchLateness(world.history, ending.signal);
	await world.startAll();
	const loading = new Callers(world, random).play(ending.signal);
	const playing = playFaults(world, plan, report, ending.signal);
	const finding = await check(world, playing, ending.signal);
	ending.abort();
	await Promise.all([loading, playing, lags]);
	const last = finding ?? findViolation(world);
	const {requests, runs, disturbances} = world.history;
	return {
		finding: last && {...last, story: tellStory(world, last.attempt)},
		requests: requests.length,
		served: requests.filter(({answer}) => answer?.status === 200 && answer.whole).length,
		runs: runs.length,
		statuses: countStatuses(requests),
		lags: disturbances.filter(({kind}) => kind === lateProcess).length,
	};
}

function countStatuses(requests: readonly SeenRequest[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {answer, leftAt} of requests) {
		const name = leftAt === undefined ? String(answer?.status ?? 'none') : 'left';
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

/** Plays the faults, then all killed if planned, then waits until all must be made good. */
async function playFaults(world: SoakWorld, plan: SoakPlan, report: (line: string) => void, signal: AbortSignal): Promise<void> {
	const started = performance.now();
	const active: Array<Promise<void>> = [];
	for (const fault of plan.faults) {
		await sleep(started + fault.at - performance.now(), signal);
		if (signal.aborted) {
			break;
		}

		active.push(playFault(world, fault, report));
	}

	await sleep(started + plan.faultMilliseconds - performance.now(), signal);
	await Promise.all(active);
	if (plan.allKilled && !signal.aborted) {
		await killAll(world, report);
	}

	for (let watch = 1; !signal.aborted && watch <= maximumWatches; watch += 1) {
		world.history.isLastWatch = watch === maximumWatches;
		await watchRecovery(world.history, watch === 1 && plan.allKilled ? recoverMilliseconds : settleMilliseconds, signal);
		if (!wasLate(world.history, world.history.settledAt! - contactMilliseconds)) {
			break;
		}
	}
}

/** Waits until all must be made good, and for as long as requests are watched after that. */
async function watchRecovery(history: History, madeGoodMilliseconds: number, signal: AbortSignal): Promise<void> {
	await sleep(madeGoodMilliseconds, signal);
	history.settledAt = performance.now();
	await sleep(watchMilliseconds, signal);
}

async function playFault(world: SoakWorld, fault: PlannedFault, report: (line: string) => void): Promise<void> {
	const kind = faultKinds[fault.kind];
	if (!kind) {
		throw new Error(`no such kind of fault: ${fault.kind}`);
	}

	const gateway = world.gateways[fault.target % world.gateways.length]!;
	const slot = world.slots[fault.target % world.slots.length]!;
	const names = {
		gateway: gateway.name, worker: slot.name, store: 'store', operator: 'operator', all: 'all',
	};
	report(`${fault.kind} (${fault.variant}) at ${names[kind.on]} for ${fault.forMilliseconds} ms`);
	const end = kind.disturbs ? world.disturb(fault.kind, names[kind.on]) : () => undefined;
	if (fault.kind === 'gateway stopped') {
		world.history.stops.push({gateway: gateway.name, at: world.history.disturbances.at(-1)!.from});
	}

	const starts = {
		gateway: async () => kind.on === 'gateway' && kind.start(gateway, fault.variant, world),
		worker: async () => kind.on === 'worker' && kind.start(slot, fault.variant, world),
		store: async () => kind.on === 'store' && kind.start(undefined, fault.variant, world),
		operator: async () => kind.on === 'operator' && kind.start(undefined, fault.variant, world),
		all: async () => kind.on === 'all' && kind.start(undefined, fault.variant, world),
	};
	const ending = await starts[kind.on]();
	if (ending) {
		await delay(fault.forMilliseconds);
		await ending();
	}

	end();
}

async function killAll(world: SoakWorld, report: (line: string) => void): Promise<void> {
	report('all gateways are killed');
	const end = world.disturb('all gateways killed', 'all');
	await Promise.all(world.gateways.map(async gateway => gateway.kill()));
	await delay(1000);
	await world.startGateways();
	end();
}

/** Runs the checks until the schedule is over or a promise was broken. */
async function check(world: SoakWorld, playing: Promise<void>, signal: AbortSignal): Promise<Omit<Finding, 'story'> | undefined> {
	const watching = playing.then(() => 'over');
	for (;;) {
		const state = await Promise.race([watching, delay(checkMilliseconds)]);
		await world.noteMemory();
		const finding = findViolation(world);
		if (finding !== undefined || state === 'over' || signal.aborted) {
			return finding;
		}
	}
}

function findViolation({history}: SoakWorld): Omit<Finding, 'story'> | undefined {
	const now = performance.now();
	for (const [name, run] of Object.entries(checks)) {
		const [violation] = run(history, now);
		if (violation) {
			return {...violation, check: name as CheckName};
		}
	}

	return undefined;
}

async function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await delay(Math.max(0, milliseconds), undefined, {signal});
	} catch (error) {
		if (!signal.aborted) {
			throw error;
		}
	}
}
