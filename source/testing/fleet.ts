/**
 * Starts real processes for tests: routers, stand-ins and the programs of operators.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {EntryList} from '../client/mod.ts';
import {type Host} from '../table-service/mod.ts';
import {type RouterSettings} from '../settings/mod.ts';
import {takeLoopbackAddress} from './loopback-address.ts';
import {limitDescriptors} from './process-memory.ts';
import {PinnedEntry} from './_pinned-entry.ts';

const binaries = path.join(import.meta.dirname, '..', 'binaries');
const standIn = path.join(import.meta.dirname, 'stand-ins', 'stand-in.js');

/** Flags of the router's runtime, as in the first line of its program; small young generations keep its memory low. */
const routerFlags = ['--max-semi-space-size=8'];

/** Key of the workspace that tests use unless they say otherwise. */
export const testKey = 'key-of-the-test-workspace';

/** Key of the operators in tests. */
export const operatorKey = 'operator-key-of-the-tests';

/** Fleets of this process, which gives each one an address of its own. */
/** How a program ended. */
export type ProgramEnd = {code: number; output: string; errors: string};

/** A process of the fleet. */
export type FleetProcess = {name: string; address: string; child: ChildProcess; log: string[]};

/** How a process is limited. */
export type ProcessLimits = {
	/** Further flags of the runtime. Default none. */
	flags?: readonly string[];
	/** Descriptors that the process may have. Default those of the test. */
	descriptors?: number;
};

/** Changes to a router's settings, one object a section. */
export type RouterChanges = {[Section in keyof RouterSettings]?: Partial<RouterSettings[Section]>};

/**
 * A set of processes on loopback addresses of their own.
 *
 * @example
 * ```ts
 * await using fleet = await Fleet.create();
 * await fleet.startEngine('engine-1', 'briefs');
 * ```
 */
export class Fleet implements AsyncDisposable {
	/** Creates a fleet with its platform. */
	static async create(platformOptions: Record<string, unknown> = {}): Promise<Fleet> {
		const fleet = new Fleet(await mkdtemp(path.join(tmpdir(), 'azuretack-')));
		await fleet.startStandIn('platform', 'platform', platformOptions);
		return fleet;
	}

	readonly folder: string;
	readonly processes = new Map<string, FleetProcess>();
	readonly hosts = new Map<string, Host>();
	/** Address under which routers reach the platform, when it is not the platform's own. */
	platformAddress: string | undefined;
	#nextPort = 10_000;
	readonly #address: string;

	private constructor(folder: string) {
		this.folder = folder;
		this.#address = takeLoopbackAddress();
	}

	/** Returns an `address:port` that nothing else listens on. */
	allocate(): string {
		this.#nextPort += 1;
		return `${this.#address}:${this.#nextPort}`;
	}

	/** Returns a process by name. */
	process(name: string): FleetProcess {
		const found = this.processes.get(name);
		if (!found) {
			throw new Error(`the fleet has no process "${name}"`);
		}

		return found;
	}

	/** Starts a stand-in and waits until it listens. */
	async startStandIn(kind: string, name: string, options: Record<string, unknown> = {}, listen = this.allocate()): Promise<FleetProcess> {
		const started = this.#spawn(name, listen, [standIn, kind, JSON.stringify({listen, ...options})]);
		await Promise.race([once(started.child.stdout!, 'data'), once(started.child, 'exit')]);
		if (started.child.exitCode !== null) {
			throw new Error(`the stand-in "${name}" did not start: ${started.log.join('')}`);
		}

		return started;
	}

	/** Starts an engine of a service on a host of its own and puts it on the host list. */
	async startEngine(name: string, service: string, options: Record<string, unknown> = {}, host: Partial<Host> = {}): Promise<FleetProcess> {
		const started = await this.startStandIn('engine', name, options);
		this.addHost({
			name, availabilityZone: 'zone-a', region: 'home', state: 'live', endpoints: [{service, address: started.address}], ...host,
		});
		return started;
	}

	/** Starts a plain service's endpoint on a host of its own and puts it on the host list. */
	async startPlain(name: string, service: string, options: Record<string, unknown> = {}): Promise<FleetProcess> {
		const started = await this.startStandIn('plain', name, options);
		this.addHost({
			name, availabilityZone: 'zone-a', region: 'home', state: 'live', endpoints: [{service, address: started.address}],
		});
		return started;
	}

	/** Starts a router and puts it on the host list; the list must be published by {@linkcode Fleet.publishHosts}. */
	async startRouter(name: string, changes: RouterChanges = {}, availabilityZone = 'zone-a', limits: ProcessLimits = {}): Promise<FleetProcess> {
		const addresses = {callers: this.allocate(), peers: this.allocate(), operators: this.allocate()};
		const settings = {
			hostName: name,
			availabilityZone,
			callers: {
				listen: addresses.callers, cursorKeys: ['cursor-key-of-the-tests'], entryTimeToLiveSeconds: 1, ...changes.callers,
			},
			peers: {listen: addresses.peers, key: 'peer-key-of-the-tests', ...changes.peers},
			operators: {listen: addresses.operators, key: operatorKey, ...changes.operators},
			platform: {
				url: `http://${this.platformAddress ?? this.process('platform').address}`, hostListMilliseconds: 200, configurationMilliseconds: 200, ...changes.platform,
			},
			...(changes.admission && {admission: changes.admission}),
			...(changes.placement && {placement: changes.placement}),
			duties: changes.duties ?? {takePart: false},
			log: {level: 'debug', ...changes.log},
		};
		this.addHost({
			name, availabilityZone, region: 'home', state: 'live', entry: addresses, endpoints: [],
		});
		return this.restartRouter(name, settings, limits);
	}

	/** Starts a router with given settings, for example again after its death. */
	async restartRouter(name: string, settings?: unknown, {flags = [], descriptors}: ProcessLimits = {}): Promise<FleetProcess> {
		const file = path.join(this.folder, `${name}.jsonc`);
		if (settings !== undefined) {
			await writeFile(file, JSON.stringify(settings, undefined, '\t'));
		}

		const address = this.processes.get(name)?.address ?? this.hosts.get(name)!.entry!.callers;
		return this.#spawn(name, address, [...routerFlags, ...flags, path.join(binaries, 'azuretack-router.js'), '--settings', file], descriptors);
	}

	/** Adds a host to the list or replaces it. */
	addHost(host: Host): void {
		this.hosts.set(host.name, host);
	}

	/** Hands the host list to the platform. */
	async publishHosts(): Promise<void> {
		await this.control('platform', '/control/hosts', {hosts: [...this.hosts.values()]});
	}

	/** Writes files into a folder and publishes them; returns how the publisher ended. */
	async publish(files: Record<string, unknown>, options: string[] = [], platform = this.process('platform').address): Promise<ProgramEnd> {
		const folder = await mkdtemp(path.join(this.folder, 'services-'));
		for (const [name, content] of Object.entries(files)) {
			await mkdir(path.dirname(path.join(folder, name)), {recursive: true});
			await writeFile(path.join(folder, name), typeof content === 'string' ? content : JSON.stringify(content));
		}

		return this.runProgram('azuretack-publish', ['--platform', `http://${platform}`, ...options, folder]);
	}

	/** Runs one of the programs to its end. */
	async runProgram(name: string, parameters: string[], environment: Record<string, string> = {}): Promise<ProgramEnd> {
		const child = spawn(process.execPath, [path.join(binaries, `${name}.js`), ...parameters], {env: {...process.env, ...environment}});
		const [output, errors] = await Promise.all([text(child.stdout), text(child.stderr), child.exitCode ?? once(child, 'close')]);
		return {code: child.exitCode ?? -1, output, errors};
	}

	/** Waits until every given router has a configuration, by default until all have. */
	async waitUntilReady(names = [...this.hosts.values()].filter(host => host.entry).map(host => host.name)): Promise<void> {
		for (const name of names) {
			await this.until(async () => {
				const status = await this.operator<{ready: boolean; knownHosts: number}>(name, '/status');
				return status.ready && status.knownHosts > 0;
			}, `${name} is ready`);
		}
	}

	/** Waits until a condition holds; fails after a time far above any target. */
	async until(condition: () => Promise<boolean> | boolean, description: string, timeoutMilliseconds = 20_000): Promise<void> {
		const deadline = performance.now() + timeoutMilliseconds;
		while (performance.now() < deadline) {
			try {
				if (await condition()) {
					return;
				}
			} catch {
				// The process may not listen yet.
			}

			await delay(25);
		}

		throw new Error(`not within ${timeoutMilliseconds} ms: ${description}`);
	}

	/** Reads a path of a router's operator port. */
	async operator<Answer>(name: string, pathname: string, method: 'GET' | 'POST' = 'GET'): Promise<Answer> {
		const address = this.hosts.get(name)!.entry!.operators;
		const response = await request(`http://${address}${pathname}`, {method, headers: {authorization: `Bearer ${operatorKey}`}, signal: AbortSignal.timeout(2000)});
		return await response.body.json() as Answer;
	}

	/** Sends a command to a stand-in's control port, or reads it when there is no body. */
	async control<Answer>(name: string, pathname: string, body?: unknown): Promise<Answer> {
		const response = await request(`http://${this.process(name).address}${pathname}`, {
			method: body === undefined ? 'GET' : 'POST',
			headers: {'content-type': 'application/json'},
			body: body === undefined ? undefined : JSON.stringify(body),
		});
		return await response.body.json() as Answer;
	}

	/** Returns the callers' view of the fleet. */
	entries(...names: string[]): EntryList {
		const hosts = names.length > 0 ? names.map(name => this.hosts.get(name)!) : [...this.hosts.values()].filter(host => host.entry);
		return new EntryList({seeds: hosts.map(host => host.entry!.callers)});
	}

	/** Returns the view of a caller that keeps one entry and asks for no others. */
	only(name: string): EntryList {
		return new PinnedEntry(this.hosts.get(name)!.entry!.callers);
	}

	/** Sends a signal to a process of the fleet. */
	signal(name: string, signal: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM'): void {
		this.process(name).child.kill(signal);
	}

	/** Waits until a process has ended; returns its exit code, or -1 after a signal. */
	async ended(name: string): Promise<number> {
		const {child} = this.process(name);
		if (child.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}

		return child.exitCode ?? -1;
	}

	/** Ends every process and removes the folder. */
	async [Symbol.asyncDispose](): Promise<void> {
		for (const name of this.processes.keys()) {
			this.signal(name, 'SIGKILL');
			await this.ended(name);
		}

		await rm(this.folder, {recursive: true, force: true});
	}

	#spawn(name: string, address: string, parameters: string[], descriptors?: number): FleetProcess {
		const [executable, ...words] = limitDescriptors([process.execPath, ...parameters], descriptors);
		const child = spawn(executable!, words, {stdio: ['ignore', 'pipe', 'pipe']});
		const log: string[] = [];
		child.stderr.setEncoding('utf8').on('data', (lines: string) => {
			log.push(lines);
		});
		const started = {
			name, address, child, log,
		};
		this.processes.set(name, started);
		return started;
	}
}

/**
 * Returns a workspaces file that admits keys.
 *
 * @param workspaces Keys and weights by workspace name. Default one workspace `test` with {@linkcode testKey}.
 */
export function workspacesFile(workspaces?: Record<string, {key: string; weight?: number}>): unknown {
	return {
		workspaces: Object.entries(workspaces ?? {test: {key: testKey}}).map(([workspace, {key, weight}]) => ({
			workspace, keyDigests: [createHash('sha256').update(key).digest('hex')], weight,
		})),
	};
}
