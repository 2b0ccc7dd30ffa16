/**
 * Tests that each check of the soak fires when its promise is broken.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type WorkerLie} from '../../stand-ins/worker-options.ts';
import {Callers, playEndingRequest} from '../callers.ts';
import {type History} from '../history.ts';
import {Random} from '../random.ts';
import {prefixes} from '../requests.ts';
import {SoakWorld} from '../world.ts';
import {checks, type CheckName} from './mod.ts';

/** Time within which a broken promise must show, in milliseconds. */
const showsMilliseconds = 60_000;

/** Share of callers that leave early, in hundredths, so that enough of them do. */
const impatientPercent = 30;

const tellLie = (lie: WorkerLie) => ({slots}: SoakWorld) => {
	for (const {worker} of slots) {
		worker.lie = lie;
	}
};

/** Breaks the promise of each check in a stand-in, a link, or what the soak itself does. */
const mutations: Record<CheckName, (world: SoakWorld) => Promise<void> | void> = {
	runsOnce: tellLie('runs-refused'),
	notRunIsTrue: tellLie('runs-refused'),
	unchangedRequests: tellLie('misreads'),
	oneEngineAtATime: tellLie('breaks-and-works-on'),
	boundedAttempts: tellLie('counts-thrice'),
	retryBudget: tellLie('counts-thrice'),
	endingRequests(world) {
		// Each send has another path, so that gateways cannot know it for the same request.
		void playEndingRequest(world, {kind: 'idempotent', targetOf: send => `${prefixes.idempotent}ending-${send}`}, AbortSignal.timeout(showsMilliseconds));
	},
	endingParts(world) {
		// The prompts of no two sends have a part in common, so that gateways cannot know what the requests share.
		void playEndingRequest(world, {kind: 'generation', sharesPart: true, partsOf: send => `dead${send}:90`}, AbortSignal.timeout(showsMilliseconds));
	},
	leftCallers({slots}) {
		for (const {worker} of slots) {
			worker.lie = 'ignores-close';
			worker.options.callMilliseconds = 2000;
		}
	},
	async leavingWorkers({history, slots}) {
		await delay(contactPlus);
		history.leavings.push({worker: slots.find(({name}) => name === 'desk-1')!.id, at: performance.now()});
	},
	stalledGenerations({slots}) {
		for (const {worker} of slots) {
			worker.lie = 'ignores-close';
			worker.fault = 'stall-comment';
		}
	},
	suspendedWorkers({history, slots}) {
		// Workers that are noted as suspended, and sound, break answers off.
		for (const {id, worker} of slots) {
			history.suspensions.push({worker: id, from: performance.now(), until: performance.now() + showsMilliseconds});
			worker.fault = 'break';
		}
	},
	async wordOfLeaving({history, slots}) {
		// The same worker is registered again as a new life, so that gateways use it on. Again, if those that it told had left.
		const slot = slots.find(({name}) => name === 'desk-1')!;
		const until = performance.now() + (showsMilliseconds / 2);
		do {
			slot.worker.saysLeaving = true;
			await delay(contactPlus);
			slot.worker.startedAt += 1;
			slot.worker.saysLeaving = false;
			slot.register();
		} while (!history.requests.some(({answer}) => answer?.saysLeaving) && performance.now() < until);
	},
	backedOffWorkers({slots}) {
		// What is noted of arrivals says that workers ask to back off, and their answers do not.
		for (const {worker} of slots) {
			worker.lie = 'asks-no-backoff';
			worker.backoffSeconds = 3;
		}
	},
	keptLimits({history, slots}) {
		// Workers name a higher limit in their answers than the one that is noted.
		for (const {worker, id} of slots) {
			worker.limit = '50';
			history.limits.push({worker: id, at: performance.now(), limit: 0.5});
		}
	},
	wholeAnswers: tellLie('other-body'),
	wholeStreams({slots}) {
		for (const {worker} of slots) {
			worker.options.eventOf = (_run, event) => event === 5 ? 'token 6' : `token ${event}`;
		}
	},
	answersInTime({gateways}) {
		gateways[0]!.callersLink.apply({mode: 'drop_answers'});
	},
	async endOfEachRequest({gateways}) {
		// Connections are reset under requests again and again, and nothing is noted as harmed: those that were opened at the start are excused.
		for (let reset = 0; reset < resets; reset += 1) {
			await delay(contactPlus / 5);
			gateways[0]!.callersLink.apply({mode: 'reset_existing'});
		}
	},
	async plannedStops(world) {
		const {gateways, history} = world;
		await delay(contactPlus);
		const soundFrom = performance.now();
		for (const gateway of gateways) {
			await untilGenerating(history, gateway.name, soundFrom);
			world.disturb('gateway stopped', gateway.name);
			history.stops.push({gateway: gateway.name, at: history.disturbances.at(-1)!.from});
			await gateway.kill();
		}
	},
	withdrawnKeys(world) {
		world.withdrawKey('workspace-1');
		world.publish(false);
	},
	configurationInTime(world) {
		world.moveRoute(prefixes.once);
		world.publish(false);
	},
	noEndsOfTheirOwn({gateways}) {
		gateways[0]!.signal('SIGKILL');
	},
	boundedMemory({gateways}) {
		gateways[0]!.useMemory(200);
	},
	recovery({history, slots}) {
		for (const {worker} of slots) {
			worker.fault = 'full';
		}

		history.settledAt = performance.now();
	},
};

/** Time after which rules with a time hold, and generations are under way, in milliseconds. */
const contactPlus = 5000;

/** Times that connections are reset, a second apart. */
const resets = 15;

/** Generations that must be under way at a gateway that is stopped, as a caller may leave in the same moment. */
const cutGenerations = 3;

/** Waits until engines work on some generations that callers wait for and that a gateway got after the given time. */
async function untilGenerating({requests, runs}: History, gateway: string, from: number): Promise<void> {
	const isRunning = (attempt: string) => runs.some(run => run.attempt === attempt && run.endedAt === undefined);
	const generations = () => requests.filter(request => request.gateway === gateway && request.kind === 'generation' && request.sentAt > from
		&& request.answer === undefined && request.leftAt === undefined && isRunning(request.attempt));
	const until = performance.now() + (showsMilliseconds / 2);
	while (generations().length < cutGenerations && performance.now() < until) {
		await delay(50);
	}
}

/** Which of several test files, each a process of its own, tests a share of the checks. */
export type TestShare = {part: number; parts: number};

/** Registers the tests of a share of the checks, two at a time: more in one process would leave it no time, and connections would wait in it. */
export function testMutations({part, parts}: TestShare): void {
	describe('checks of the soak', {concurrency: 2}, () => {
		for (const [name, mutate] of Object.entries(mutations).filter((_mutation, index) => index % parts === part)) {
			test(`the check ${name} fires when its promise is broken`, async () => {
				const random = new Random(7);
				await using world = await SoakWorld.create({gateways: 2, random});
				await world.startAll();
				const ending = new AbortController();
				const loading = new Callers(world, random, impatientPercent).play(ending.signal);
				await mutate(world);
				const until = performance.now() + showsMilliseconds;
				const violations = () => checks[name as CheckName](world.history, performance.now());
				while (violations().length === 0 && performance.now() < until) {
					await world.noteMemory();
					await delay(250);
				}

				const found = violations();
				ending.abort();
				await loading;
				assert.notEqual(found.length, 0);
			});
		}
	});
}
