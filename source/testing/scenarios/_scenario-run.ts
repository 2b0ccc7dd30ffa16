/**
 * One run of a scenario: its fleet and its requests.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Service} from '../../configuration/mod.ts';
import {type Host} from '../../table-service/mod.ts';
import {
	testKey, workspacesFile, type Fleet, type ProgramEnd,
} from '../fleet.ts';
import {type EngineWork} from '../stand-ins/engine-options.ts';
import {splitTokens} from '../stand-ins/expected-text.ts';
import {type ProcessReference} from './_process-reference.ts';
import {type CallRequest, type GenerationRequest, type ScenarioRequest} from './_requests.ts';
import {type EngineDescription, type ScenarioContext} from './_scenario-context.ts';
import {type Scenario} from './scenario.ts';

/** Time for a stand-in's answer, after which it counts as dead or paused, in milliseconds. */
const standInMilliseconds = 1000;

type Link = Scenario['fleet']['links'][number] & {listen: string};

type EngineRecord = {prompt: string; attempt: number; state: string; connected: boolean};

/** Fleet, links and requests of one run. */
export class ScenarioRun implements ScenarioContext {
	readonly fleet: Fleet;
	readonly routerNames: string[];
	readonly #scenario: Scenario;
	readonly #requests = new Map<string, ScenarioRequest>();
	readonly #engines = new Map<string, EngineDescription>();
	/** Hosts taken off the list. */
	readonly #goneHosts = new Map<string, Host>();
	readonly #links: Link[];

	constructor(scenario: Scenario, fleet: Fleet) {
		this.#scenario = scenario;
		this.fleet = fleet;
		this.#links = scenario.fleet.links.map(link => ({...link, listen: fleet.allocate()}));
		this.routerNames = scenario.fleet.routers.map(({name}) => name);
	}

	/** Starts every process, publishes the configuration and waits until all routers are ready. */
	async startFleet(): Promise<void> {
		const {engines, plainServices, services} = this.#scenario.fleet;
		await Promise.all([
			...engines.map(async engine => this.startEngine(engine)),
			...plainServices.map(async ({name, service, options}) => this.fleet.startPlain(name, service, options)),
		]);
		await this.#startRouters();
		await this.#startProxy();
		await this.fleet.publishHosts();
		const published = await this.publish(services);
		if (published.code !== 0) {
			throw new Error(`the publisher ended with ${published.code}: ${published.errors}`);
		}

		await this.fleet.waitUntilReady();
	}

	async resolve(reference: ProcessReference): Promise<string> {
		if (typeof reference === 'string') {
			this.fleet.process(reference);
			return reference;
		}

		return 'engineOf' in reference ? this.#engineOf(reference.engineOf) : this.#entryOf(reference.entryOf);
	}

	async resolveLink(reference: ProcessReference): Promise<string> {
		const name = typeof reference === 'string' ? reference : await this.resolve(reference);
		const link = this.#links.find(candidate => candidate.name === name) ?? this.#links.find(candidate => candidate.to === name);
		if (!link) {
			throw new Error(`no link is named "${name}" or leads to it`);
		}

		return link.name;
	}

	async restart(name: string): Promise<void> {
		this.fleet.signal(name, 'SIGKILL');
		await this.fleet.ended(name);
		if (this.routerNames.includes(name)) {
			await this.fleet.restartRouter(name);
			return;
		}

		const engine = this.#engines.get(name);
		if (engine) {
			await this.fleet.startStandIn('engine', name, engine.options, this.fleet.process(name).address);
			return;
		}

		throw new Error(`"${name}" is neither a router nor an engine`);
	}

	async startEngine(engine: EngineDescription): Promise<void> {
		const {name, service, options, availabilityZone} = engine;
		this.#engines.set(name, engine);
		const started = await this.fleet.startEngine(name, service, options, {availabilityZone});
		const link = this.#links.find(({to}) => to === name);
		this.fleet.addHost({...this.fleet.hosts.get(name)!, endpoints: [{service, address: link?.listen ?? started.address}]});
	}

	async setHostState(name: string, state: 'live' | 'leaving' | 'gone'): Promise<void> {
		const host = this.#host(name);
		if (!host) {
			throw new Error(`there is no host "${name}"`);
		}

		if (state === 'gone') {
			this.fleet.hosts.delete(name);
			this.#goneHosts.set(name, host);
		} else {
			this.fleet.addHost({...host, state});
		}

		await this.fleet.publishHosts();
	}

	async publish(services: Service[]): Promise<ProgramEnd> {
		return this.fleet.publish({
			...Object.fromEntries(services.map(service => [`${service.service}.service.jsonc`, service])),
			'all.workspaces.jsonc': workspacesFile(this.#scenario.fleet.workspaces),
		});
	}

	key(workspace: string): string {
		return this.#scenario.fleet.workspaces?.[workspace]?.key ?? testKey;
	}

	addRequest(request: ScenarioRequest): void {
		this.#requests.set(request.name, request);
	}

	request(name: string): ScenarioRequest {
		const found = this.#requests.get(name);
		if (!found) {
			throw new Error(`no request is named "${name}"`);
		}

		return found;
	}

	generation(name: string): GenerationRequest {
		const found = this.request(name);
		if (found.kind !== 'generation') {
			throw new Error(`"${name}" is no generation`);
		}

		return found;
	}

	call(name: string): CallRequest {
		const found = this.request(name);
		if (found.kind !== 'call') {
			throw new Error(`"${name}" is no call`);
		}

		return found;
	}

	async enginesThatRan(prompt: string): Promise<string[]> {
		const records = await this.#engineRecords();
		return records.filter(record => record.prompt === prompt).map(({engine}) => engine);
	}

	async runsOf(key: string): Promise<number> {
		let sum = 0;
		for (const {name} of this.#scenario.fleet.plainServices) {
			const runs = await this.fleet.control<Record<string, number>>(name, '/control/runs');
			sum += runs[key] ?? 0;
		}

		return sum;
	}

	async extraWork(): Promise<number> {
		let tokens = 0;
		for (const engine of this.#engines.keys()) {
			const work = await this.fleet.control<EngineWork>(engine, '/control/work');
			tokens += work.prefillTokens + work.cachedTokens + work.decodedTokens;
		}

		for (const request of this.#requests.values()) {
			tokens -= request.kind === 'generation' ? splitTokens(request.prompt).length + request.input.tokens : 0;
		}

		return tokens;
	}

	async #engineOf(request: string): Promise<string> {
		const {prompt} = this.generation(request);
		const records = await this.#engineRecords();
		const decoding = records
			.filter(record => record.prompt === prompt && record.state === 'running' && record.connected)
			.toSorted((left, right) => right.attempt - left.attempt);
		if (!decoding[0]) {
			throw new Error(`no engine decodes for "${request}": the step came too late or too early`);
		}

		return decoding[0].engine;
	}

	#entryOf(request: string): string {
		const {address, answered} = this.generation(request);
		const host = [...this.fleet.hosts.values()].find(candidate => candidate.entry?.callers === address);
		if (!host || answered) {
			throw new Error(`no entry serves "${request}": the step came too late or too early`);
		}

		return host.name;
	}

	async #engineRecords(): Promise<Array<EngineRecord & {engine: string}>> {
		const records = await Promise.all([...this.#engines.keys()].map(async engine => {
			const answer = await this.#recordsOf(engine);
			return answer.map(record => ({...record, engine}));
		}));
		return records.flat();
	}

	async #recordsOf(engine: string): Promise<EngineRecord[]> {
		try {
			const answer = await Promise.race([
				this.fleet.control<{generations: EngineRecord[]}>(engine, '/control/generations'),
				delay(standInMilliseconds, {generations: []}),
			]);
			return answer.generations;
		} catch {
			return [];
		}
	}

	#host(name: string): Host | undefined {
		return this.fleet.hosts.get(name) ?? this.#goneHosts.get(name);
	}

	/** Starts the routers; one whose platform is behind a link gets that link's address. */
	async #startRouters(): Promise<void> {
		for (const [index, {name, availabilityZone, settings}] of this.#scenario.fleet.routers.entries()) {
			const link = this.#links.find(({to, from}) => to === 'platform' && (from ?? name) === name);
			const platform = {...settings.platform, ...(link && {url: `http://${link.listen}`})};
			await this.fleet.startRouter(name, {...settings, platform}, availabilityZone ?? `zone-${index + 1}`);
		}
	}

	/** Starts the proxy and puts its addresses on the host list in place of the routers' own. */
	async #startProxy(): Promise<void> {
		if (this.#links.length === 0) {
			return;
		}

		const links = this.#links.map(({name, to, port, listen}) => ({name, listen, target: this.#host(to)?.entry?.[port] ?? this.fleet.process(to).address}));
		await this.fleet.startStandIn('proxy', 'proxy', {links});
		for (const {to, port, listen} of this.#links) {
			const host = this.#host(to);
			if (host?.entry) {
				this.fleet.addHost({...host, entry: {...host.entry, [port]: listen}});
			}
		}
	}
}
