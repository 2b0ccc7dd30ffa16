import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type WorkerLie} from '../../stand-ins/worker-options.ts';
import {Callers, playEndingRequest} from '../callers.ts';
import {createHistory} from '../history.ts';
import {Random} from '../random.ts';
import {retryBounds} from '../plan.ts';
import {prefixes} from '../requests.ts';
import {type WorkerSlot} from '../worker-slots.ts';
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
		// Each send names another part, so that gateways cannot know what the requests share.
		void playEndingRequest(world, {kind: 'generation', sharesPart: true, partOf: send => `dead${send}`}, AbortSignal.timeout(showsMilliseconds));
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
	async wordOfLeaving({slots}) {
		// The same worker is registered again as a new life, so that gateways use it on.
		const [{worker}] = slots.filter(({name}) => name === 'desk-1') as [WorkerSlot];
		worker.saysLeaving = true;
		await delay(contactPlus);
		worker.startedAt += 1;
		worker.saysLeaving = false;
		slots.find(({name}) => name === 'desk-1')!.register();
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
	async plannedStops(world) {
		const {gateways, history} = world;
		await delay(contactPlus);
		for (const gateway of gateways) {
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

describe('checks of the soak', {concurrency: 4}, () => {
	for (const [name, mutate] of Object.entries(mutations)) {
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

test('no check fires where nothing was seen', () => {
	for (const [name, check] of Object.entries(checks)) {
		assert.deepEqual(check(createHistory(retryBounds.usual), 0), [], name);
	}
});

/** A history in which one request of many reaches a worker, and is then sent to it again and again. */
function historyOfRetries(retries: number) {
	const history = createHistory(retryBounds.usual);
	history.configurations.push({
		version: 1, at: 0, keys: {}, services: {[prefixes.idempotent]: 'desk', [prefixes.generation]: 'scribe'},
	});
	const request = (attempt: string, kind: 'idempotent' | 'generation') => ({
		attempt, kind, gateway: 'gateway-1', workspace: 'workspace-1', key: 'key', method: 'GET', target: `${prefixes[kind]}1`, body: '', lastEvent: 0, sentAt: 5000, deadlineMilliseconds: 3000,
	});
	history.requests.push(request('first', 'idempotent'));
	for (let number = 0; number < 100; number += 1) {
		history.requests.push(request(`desk-${number}`, 'idempotent'), request(`scribe-${number}`, 'generation'));
	}

	for (let send = 0; send <= retries; send += 1) {
		history.arrivals.push({
			attempt: 'first', service: 'desk', worker: 'desk-1', at: 5000 + send, backoffUntil: undefined,
		});
	}

	return history;
}

test('requests that reach no worker allow retries at the service of their route, and at no other one', () => {
	const allowed = Math.floor((retryBounds.usual.ratio * 101) + retryBounds.usual.slack);
	assert.deepEqual(checks.retryBudget(historyOfRetries(allowed), 10_000), []);
	assert.equal(checks.retryBudget(historyOfRetries(allowed + 1), 10_000).length, 1);
});
