/**
 * The fleet on which recovery is measured, and its failures.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Fleet, workspacesFile} from '../testing/fleet.ts';
import {type EngineWork} from '../testing/stand-ins/engine-options.ts';

/** Kinds of a single loss. */
export const failureKinds = ['engine killed', 'engine paused', 'connection silent', 'router killed', 'router paused'] as const;

/** Kind of a single loss. */
export type FailureKind = (typeof failureKinds)[number];

/** Time of one decoding step, in milliseconds. */
const stepMilliseconds = 30;

/** Time for a woken engine to end what its callers no longer want, in milliseconds. */
const settleMilliseconds = 1500;

/** Time that a killed router or engine needs to listen again, in milliseconds. */
const restartMilliseconds = 1500;

const routers = ['router-1', 'router-2', 'router-3'];

type Work = Map<string, number>;

/** Routers, engines behind links, and counters of work. */
export class RecoveryBench implements AsyncDisposable {
	/** Starts the fleet. */
	static async create(engines: number, policy: 'latency' | 'cost'): Promise<RecoveryBench> {
		const fleet = await Fleet.create();
		const bench = new RecoveryBench(fleet, Array.from({length: engines}, (_, index) => `engine-${index + 1}`));
		await bench.#start(policy);
		return bench;
	}

	readonly fleet: Fleet;
	readonly engines: string[];
	/** Addresses of the engines behind the proxy. */
	readonly linkAddresses = new Map<string, string>();
	/** Work of engines that were killed, read just before. */
	readonly #workBeforeKill: Work = new Map();

	private constructor(fleet: Fleet, engines: string[]) {
		this.fleet = fleet;
		this.engines = engines;
	}

	/** Addresses of the entries. */
	get entryAddresses(): string[] {
		return routers.map(name => this.fleet.process(name).address);
	}

	/** Reads the tokens of prefill and decode that each engine has computed. */
	async work(): Promise<Work> {
		const readings = await Promise.all(this.engines.map(async engine => [engine, this.#workBeforeKill.get(engine) ?? await this.#workOf(engine)] as const));
		return new Map(readings);
	}

	/** Names the prompts that an engine decodes for a connected caller. */
	async promptsOn(engine: string): Promise<Set<string>> {
		const {generations} = await this.fleet.control<{generations: Array<{prompt: string; state: string; connected: boolean}>}>(engine, '/control/generations');
		return new Set(generations.filter(({state, connected}) => state === 'running' && connected).map(({prompt}) => prompt));
	}

	/** Injects a failure at the given process. */
	async inject(kind: FailureKind, name: string): Promise<void> {
		if (kind === 'connection silent') {
			await this.fleet.control('proxy', '/control/fault', {link: name, mode: 'silent_existing'});
			return;
		}

		if (kind === 'engine killed') {
			this.#workBeforeKill.set(name, await this.#workOf(name));
		}

		this.fleet.signal(name, kind.endsWith('killed') ? 'SIGKILL' : 'SIGSTOP');
	}

	/** Wakes a paused process and waits until nothing superseded runs any more. */
	async settle(kind: FailureKind, name: string): Promise<void> {
		if (kind.endsWith('paused')) {
			this.fleet.signal(name, 'SIGCONT');
		}

		await delay(settleMilliseconds);
	}

	/** Brings a killed process back. */
	async repair(kind: FailureKind, name: string): Promise<void> {
		if (kind === 'engine killed') {
			await this.fleet.ended(name);
			await this.fleet.startStandIn('engine', name, {stepMilliseconds}, this.fleet.process(name).address);
			this.#workBeforeKill.delete(name);
		} else if (kind === 'router killed') {
			await this.fleet.ended(name);
			await this.fleet.restartRouter(name);
			await this.fleet.waitUntilReady();
		}

		await delay(restartMilliseconds);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.fleet[Symbol.asyncDispose]();
	}

	async #workOf(engine: string): Promise<number> {
		const {prefillTokens, decodedTokens} = await this.fleet.control<EngineWork>(engine, '/control/work');
		return prefillTokens + decodedTokens;
	}

	async #start(policy: 'latency' | 'cost'): Promise<void> {
		const {fleet, engines} = this;
		await Promise.all(engines.map(async name => fleet.startEngine(name, 'briefs', {stepMilliseconds})));
		for (const name of engines) {
			const listen = fleet.allocate();
			this.linkAddresses.set(name, listen);
			fleet.addHost({...fleet.hosts.get(name)!, endpoints: [{service: 'briefs', address: listen}]});
		}

		await fleet.startStandIn('proxy', 'proxy', {
			links: engines.map(name => ({name, listen: this.linkAddresses.get(name), target: fleet.process(name).address})),
		});
		for (const [index, name] of routers.entries()) {
			await fleet.startRouter(name, {}, `zone-${index + 1}`);
		}

		await fleet.publishHosts();
		const published = await fleet.publish({
			'briefs.service.jsonc': {
				service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}, recovery: {policy},
			},
			'all.workspaces.jsonc': workspacesFile(),
		});
		if (published.code !== 0) {
			throw new Error(published.errors);
		}

		await fleet.waitUntilReady();
	}
}
