import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	eventsOf, expectedEvents, GatewayFleet, type GatewayProcess,
} from '../testing/gateway-fleet.ts';
import {type WorkerFault} from '../testing/stand-ins/worker-options.ts';

const bounds = {
	exposeShare: 0.2, exposeSlack: 20, rollbackMilliseconds: 5000, configurationMilliseconds: 2000, retrySlack: 300,
};

const durationS = 8;

/** Time within which an order is accepted, in seconds: that for a configuration to be known, and one look at the order. */
const acceptanceSeconds = (bounds.configurationMilliseconds / 1000) + 1;

/** Workers of each version. */
const workersOfVersion = 4;

/** Time between two requests of the load, in milliseconds. */
const requestMilliseconds = 20;

type Status = {state: string; to: string};

/** A fleet with two versions of one service under load. */
class RolloutFleet implements AsyncDisposable {
	static async create(): Promise<RolloutFleet> {
		const fleet = await GatewayFleet.create();
		fleet.settings.contracts = ['rollout'];
		fleet.seedNames.push('gateway-1', 'gateway-2');
		const load = new RolloutFleet(fleet);
		await load.startVersion('v1');
		await Promise.all([1, 2, 3].map(async index => fleet.startGateway(`gateway-${index}`, bounds)));
		load.#loading = load.#load();
		return load;
	}

	readonly fleet: GatewayFleet;
	/** Service whose roll-out is watched. */
	service = 'desk';
	/** Outcomes of all calls. */
	readonly statuses: number[] = [];
	#loading: Promise<void> = Promise.resolve();
	#isStopped = false;

	private constructor(fleet: GatewayFleet) {
		this.fleet = fleet;
	}

	async startVersion(version: string, fault: WorkerFault = 'none'): Promise<void> {
		for (let index = 1; index <= workersOfVersion; index += 1) {
			const worker = await this.fleet.startWorker({id: `${version}-${index}`, service: 'desk', version});
			worker.fault = fault;
		}
	}

	order(to: string, service = 'desk'): void {
		this.fleet.store.put('op', `rollout/${service}`, {service, to, durationS});
	}

	get status(): Status | undefined {
		return this.fleet.store.get('status', `rollout/${this.service}`) as Status | undefined;
	}

	/** Why the present state was reached. */
	get reason(): string {
		return (this.fleet.store.get('rollouts', 'desk') as {reason: string}).reason;
	}

	/** Runs of a version. */
	runsOf(version: string): number {
		return [...this.fleet.workers].filter(([id]) => id.startsWith(version)).flatMap(([, worker]) => worker.runs).length;
	}

	/** Waits until the operator reads a state. */
	async untilState(state: string, seconds: number): Promise<void> {
		const end = performance.now() + (seconds * 1000);
		while (this.status?.state !== state) {
			assert.ok(performance.now() < end, `${state} is not read within ${seconds} s, but ${JSON.stringify(this.status)}; ${this.logged('roll-out').slice(-12).join('\n')}; ${this.logged('the store').join('\n')}`);
			await delay(50);
		}
	}

	/** Lines of all logs with a text. */
	logged(text: string): string[] {
		return [...this.fleet.gateways.values()].flatMap(({log}) => log.join('').split('\n')).filter(line => line.includes(text));
	}

	/** The gateway that conducts the roll-out. */
	async conductor(): Promise<GatewayProcess> {
		const lease = () => this.fleet.store.get('rollout-leases', 'desk') as {holder: string} | undefined;
		await this.fleet.until(() => lease() !== undefined, 'a gateway conducts the roll-out');
		return this.fleet.gateways.get(lease()!.holder.split('/')[0]!)!;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		await this.#loading;
		await this.fleet[Symbol.asyncDispose]();
	}

	async #load(): Promise<void> {
		const calls: Array<Promise<void>> = [];
		for (let index = 0; !this.#isStopped; index += 1) {
			const gateways = [...this.fleet.gateways.values()];
			calls.push(this.#call(gateways[index % gateways.length]!, index));
			await delay(requestMilliseconds);
		}

		await Promise.all(calls);
	}

	async #call(gateway: GatewayProcess, index: number): Promise<void> {
		try {
			const {status} = await this.fleet.call(gateway, {path: `/status/${index}`});
			this.statuses.push(status);
		} catch {
			this.statuses.push(0);
		}
	}
}

test('a good version gets a share of the requests, then all, before the order is completed by its deadline', async () => {
	await using load = await RolloutFleet.create();
	await load.startVersion('v2');
	await delay(1000);
	assert.equal(load.runsOf('v2'), 0, 'the new version gets nothing before the order');
	load.order('v2');
	await load.untilState('running', acceptanceSeconds);
	const [before, beforeOld] = [load.statuses.length, load.runsOf('v1')];
	await delay(3000);
	const tried = load.runsOf('v2');
	assert.ok(tried > 0);
	assert.ok(tried <= (bounds.exposeShare * (load.runsOf('v1') - beforeOld + tried)) + bounds.exposeSlack, `${tried} of ${load.statuses.length - before}`);
	await load.untilState('completed', durationS - 3);
	const old = load.runsOf('v1');
	for (const [id, worker] of load.fleet.workers) {
		if (id.startsWith('v1')) {
			worker.crash();
			load.fleet.store.remove('servers', id);
		}
	}

	await delay(1000);
	assert.equal(load.runsOf('v1'), old, 'the old version gets nothing after the completion');
	assert.deepEqual(load.statuses.filter(status => status !== 200), []);
});

test('a version whose answers fail is rolled back before its fiftieth bad answer, and gets no request from then on', async () => {
	await using load = await RolloutFleet.create();
	await load.startVersion('v2', 'error');
	load.order('v2');
	await load.untilState('rolled_back', durationS);
	assert.match(load.reason, /failures/v);
	await delay(bounds.configurationMilliseconds);
	const runs = load.runsOf('v2');
	assert.ok(runs < 50, `${runs} bad answers`);
	await delay(2000);
	assert.equal(load.runsOf('v2'), runs);
	assert.deepEqual(load.statuses.filter(status => status !== 200), [], 'callers are served by the old version');
});

test('a version that turns slow while the gateway that conducts the roll-out is killed is rolled back by another gateway', async () => {
	await using load = await RolloutFleet.create();
	await load.startVersion('v2');
	load.order('v2');
	await load.untilState('running', acceptanceSeconds);
	const conductor = await load.conductor();
	await load.fleet.killGateway(conductor);
	for (const [id, worker] of load.fleet.workers) {
		worker.fault = id.startsWith('v2') ? 'slow' : 'none';
	}

	await load.untilState('rolled_back', durationS);
	assert.match(load.reason, /slow answers/v);
	const other = await load.conductor();
	assert.notEqual(other.name, conductor.name);
});

test('a gateway that is suspended while it conducts a roll-out does not undo what another one decided', async () => {
	await using load = await RolloutFleet.create();
	await load.startVersion('v2', 'error');
	load.order('v2');
	await load.untilState('running', acceptanceSeconds);
	const conductor = await load.conductor();
	load.fleet.gateways.delete(conductor.name);
	conductor.child.kill('SIGSTOP');
	await load.untilState('rolled_back', durationS);
	assert.match(load.reason, /failures/v);
	conductor.child.kill('SIGCONT');
	load.fleet.gateways.set(conductor.name, conductor);
	await delay(2000);
	assert.equal(load.status?.state, 'rolled_back');
	const runs = load.runsOf('v2');
	await delay(1000);
	assert.equal(load.runsOf('v2'), runs);
});

test('orders that cannot be read or name an unknown service are logged, and the order in force goes on', async () => {
	await using load = await RolloutFleet.create();
	await load.startVersion('v2');
	load.order('v2');
	await load.untilState('running', acceptanceSeconds);
	load.fleet.store.put('op', 'rollout/desk', {service: 'desk', to: 5});
	load.order('v2', 'nowhere');
	await load.untilState('completed', durationS);
	assert.ok(load.logged('order of a roll-out cannot be read').length > 0);
	assert.ok(load.logged('roll-out of a service that the configuration lacks').length > 0);
});

test('a state that the store loses by coming back from an older copy is written again, and the version stays rolled back', async () => {
	await using load = await RolloutFleet.create();
	await load.startVersion('v2', 'error');
	load.order('v2');
	await load.untilState('running', acceptanceSeconds);
	const copy = load.fleet.store.copy();
	await load.untilState('rolled_back', durationS);
	await delay(bounds.configurationMilliseconds);
	const runs = load.runsOf('v2');
	load.fleet.store.restore(copy);
	assert.equal(load.status?.state, 'running');
	await load.untilState('rolled_back', durationS);
	assert.equal(load.runsOf('v2'), runs);
});

test('generations are moved to a good version, and each of them comes whole', async () => {
	await using load = await RolloutFleet.create();
	for (const [version, index] of [['v1', 1], ['v1', 2], ['v2', 3], ['v2', 4]] as const) {
		await load.fleet.startWorker({id: `${version}-scribe-${index}`, service: 'scribe', version});
	}

	for (const gateway of load.fleet.gateways.values()) {
		await load.fleet.until(async () => {
			const {status} = await load.fleet.draft(gateway);
			return status === 200;
		}, `${gateway.name} knows the engines`);
	}

	load.service = 'scribe';
	load.order('v2', 'scribe');
	const bodies: string[] = [];
	while (load.status?.state !== 'completed' && bodies.length < 2000) {
		const gateways = [...load.fleet.gateways.values()];
		const answers = await Promise.all(gateways.map(async gateway => load.fleet.draft(gateway)));
		bodies.push(...answers.map(({body}) => body));
		assert.notEqual(load.status?.state, 'rolled_back', load.logged('roll-out').join('\n'));
	}

	const notWhole = bodies.filter(body => eventsOf(body).join(',') !== expectedEvents(20).join(','));
	assert.deepEqual(notWhole, [], `${notWhole.length} of ${bodies.length}; ${load.logged('"service":"scribe"').filter(line => line.includes('request ended') && !line.includes('"answered"')).slice(0, 5).join('\n')}`);
	const old = load.runsOf('v1-scribe');
	const answer = await load.fleet.draft(load.fleet.gateways.get('gateway-1')!);
	assert.deepEqual(eventsOf(answer.body), expectedEvents(20));
	assert.equal(load.runsOf('v1-scribe'), old);
});
