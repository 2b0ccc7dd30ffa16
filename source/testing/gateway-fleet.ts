/**
 * Starts real gateway processes before stand-ins of the platform's store and workers.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type GatewaySettings} from '../settings/gateway-settings.ts';
import {sendCall, type CallerAnswer, type SendCallOptions} from './call.ts';
import {takeLoopbackAddress} from './loopback-address.ts';
import {limitDescriptors, memoryFlags} from './process-memory.ts';
import {configurationRow} from './stand-ins/configuration-row.ts';
import {RawWorker, type RawWorkerOptions} from './stand-ins/raw-worker.ts';
import {StoreStandIn} from './stand-ins/store-stand-in.ts';
import {type WorkerStandInOptions} from './stand-ins/worker-options.ts';
import {WorkerStandIn} from './stand-ins/worker-stand-in.ts';

const program = path.join(import.meta.dirname, '..', 'binaries', 'azuretack-gateway.js');

/** Host name of all routes in tests. */
export const routeHost = 'desk.example';

/** Key of the workspace in tests. */
export const workspaceKey = 'key-1';

/** Changes to the configuration of tests. */
export type ConfigurationChanges = {version?: number; keys?: string[]; routes?: Array<Record<string, unknown>>; bodyBytes?: number};

/** How a gateway is started. */
export type StartGatewayOptions = {
	/** Settings other than those of the fleet. Default none. */
	settings?: Record<string, unknown>;
	/** Descriptors that the process may have. Default those of the test. */
	descriptors?: number;
};

/** A request of a caller. */
export type CallerRequest = SendCallOptions & {key?: string; attempt?: string; deadlineMilliseconds?: number};

/** Options of {@linkcode rawRequest}. */
export type RawRequestOptions = {
	method: string;
	path: string;
	attempt: string;
	/** Length of the body that follows, in bytes. Default none. */
	bodyLength?: number;
};

/** The bytes of the head of a caller's request, for callers on bare sockets. */
export function rawRequest({method, path: target, attempt, bodyLength}: RawRequestOptions): string {
	const length = bodyLength === undefined ? '' : `Content-Length: ${bodyLength}\r\n`;
	return `${method} ${target} HTTP/1.1\r\nHost: ${routeHost}\r\nAuthorization: Token ${workspaceKey}\r\nX-Azuretack-Attempt-Id: ${attempt}\r\nX-Azuretack-Deadline-Ms: 3000\r\n${length}\r\n`;
}

/** One gateway process. */
export type GatewayProcess = {name: string; callers: string; entries: string; readiness: string; metrics: string; peers: string; child: ChildProcess; log: string[]};

/** Number of characters of a gateway's log that describe why it does not start. */
const describedLogLength = 3000;

let attemptsMade = 0;

const routes = {
	draft: {
		name: 'draft', host: routeHost, prefix: '/drafts/', kind: 'stream', timeoutMs: 10_000, targetLatencyMs: 1000, priority: 1, service: 'scribe', maxAttempts: 5, resumable: true, gapAimMs: 700, stickySessions: true,
	},
	deposit: {
		name: 'deposit', host: routeHost, prefix: '/deposits/', kind: 'non_idempotent', timeoutMs: 800, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 1,
	},
	status: {
		name: 'status', host: routeHost, prefix: '/status/', kind: 'idempotent', timeoutMs: 800, targetLatencyMs: 120, priority: 2, service: 'desk', maxAttempts: 2,
	},
};

/**
 * A store, workers and gateways on loopback addresses of their own.
 *
 * @example
 * ```ts
 * await using fleet = await GatewayFleet.create();
 * await fleet.startWorker({id: 'desk-1', service: 'desk'});
 * const gateway = await fleet.startGateway('gateway-1');
 * const answer = await fleet.call(gateway, {path: '/status/1'});
 * ```
 */
export class GatewayFleet implements AsyncDisposable {
	/** Creates a fleet with its store and a first configuration. */
	static async create(): Promise<GatewayFleet> {
		const address = takeLoopbackAddress();
		const store = await StoreStandIn.start(`${address}:7000`);
		const fleet = new GatewayFleet(address, store, await mkdtemp(path.join(tmpdir(), 'azuretack-gateway-')));
		fleet.configure();
		return fleet;
	}

	readonly store: StoreStandIn;
	readonly workers = new Map<string, WorkerStandIn>();
	readonly gateways = new Map<string, GatewayProcess>();
	/** Names of the gateways that are seeds of those started from then on. */
	readonly seedNames: string[] = [];
	/** Settings other than the defaults, of gateways that are started from then on. */
	readonly settings: Partial<Pick<GatewaySettings, 'contracts' | 'start'>> = {};
	readonly #peerAddresses = new Map<string, string>();
	readonly #rawWorkers: RawWorker[] = [];
	readonly #address: string;
	readonly #folder: string;
	#nextPort = 8000;

	private constructor(address: string, store: StoreStandIn, folder: string) {
		this.#address = address;
		this.store = store;
		this.#folder = folder;
	}

	/** Publishes a configuration. */
	configure({
		version = 1, keys = [workspaceKey], routes: changed, bodyBytes,
	}: ConfigurationChanges = {}): void {
		this.store.put('op', 'config', configurationRow({
			version, routes: changed ?? Object.values(routes), keys: {'workspace-1': keys}, plainServices: ['desk'], connections: 100, bodyBytes,
		}));
	}

	/** Starts a worker and registers it. */
	async startWorker(options: Omit<WorkerStandInOptions, 'listen'>): Promise<WorkerStandIn> {
		const worker = await WorkerStandIn.start({...options, listen: this.#allocate()});
		this.workers.set(options.id, worker);
		this.store.put('servers', options.id, worker.entry());
		return worker;
	}

	/** Starts a worker on a bare socket and registers it. */
	async startRawWorker(options: Omit<RawWorkerOptions, 'listen'>): Promise<RawWorker> {
		const worker = await RawWorker.start({...options, listen: this.#allocate()});
		this.#rawWorkers.push(worker);
		this.store.put('servers', options.id, worker.entry());
		return worker;
	}

	/** Starts a gateway, with bounds other than the defaults where given, and waits until it takes requests. */
	async startGateway(name: string, bounds: Partial<GatewaySettings['bounds']> = {}, {settings = {}, descriptors}: StartGatewayOptions = {}): Promise<GatewayProcess> {
		const [callers, readiness, entries, metrics] = [1, 2, 3, 4].map(() => this.#allocate());
		const file = path.join(this.#folder, `${name}.jsonc`);
		await writeFile(file, JSON.stringify({
			hostName: name,
			availabilityZone: 'zone-a',
			region: 'home',
			listen: {
				callers, readiness, entries, peers: this.#peerAddressOf(name), metrics,
			},
			seeds: this.seedNames.map(seed => this.#peerAddressOf(seed)),
			store: `${this.#address}:7000`,
			bounds,
			...this.settings,
			...settings,
		}));
		const command = [process.execPath, ...memoryFlags, program, '--settings', file];
		const [executable, ...words] = limitDescriptors(command, descriptors);
		const child = spawn(executable!, words, {stdio: ['ignore', 'pipe', 'inherit']});
		const log: string[] = [];
		child.stdout.on('data', (data: Uint8Array) => {
			log.push(new TextDecoder().decode(data));
		});
		const gateway = {
			name, callers: callers!, entries: entries!, readiness: readiness!, metrics: metrics!, peers: this.#peerAddressOf(name), child, log,
		};
		this.gateways.set(name, gateway);
		await this.until(async () => {
			const answer = await this.get(gateway.readiness, '/api/ready');
			return answer.status === 200;
		}, () => `${name} takes requests; its log ends: ${log.join('').slice(-describedLogLength)}`);
		return gateway;
	}

	/** Kills a gateway and waits until it has ended. */
	async killGateway({name, child}: GatewayProcess): Promise<void> {
		this.gateways.delete(name);
		child.kill('SIGKILL');
		await once(child, 'exit');
	}

	/** Spoils the settings file of a gateway that runs. */
	async breakSettings(name: string): Promise<void> {
		await writeFile(path.join(this.#folder, `${name}.jsonc`), '{"hostName": 5}');
	}

	/** Sends a caller's request with a key, an attempt and a deadline. */
	async call(gateway: GatewayProcess, request: CallerRequest): Promise<CallerAnswer> {
		attemptsMade += 1;
		const {key = workspaceKey, attempt = `attempt-${attemptsMade}`, deadlineMilliseconds = 5000, headers} = request;
		return sendCall(gateway.callers, {
			...request,
			headers: {
				host: routeHost, authorization: `Token ${key}`, 'x-azuretack-attempt-id': attempt, 'x-azuretack-deadline-ms': String(deadlineMilliseconds), ...headers,
			},
		});
	}

	/** Sends a request for a generation. */
	async draft(gateway: GatewayProcess, request: Partial<CallerRequest> = {}): Promise<CallerAnswer> {
		return this.call(gateway, {
			path: '/drafts/1',
			method: 'POST',
			body: 'notes',
			...request,
			headers: {'x-azuretack-token-counts': '8000,120', 'x-azuretack-prompt-prefix': 'a1:200,b2:7800', ...request.headers},
		});
	}

	/** Asks any server of a gateway. */
	async get(address: string, target: string): Promise<CallerAnswer> {
		return sendCall(address, {path: target});
	}

	/** Waits until something holds, for ten seconds at most. */
	async until(holds: () => Promise<boolean> | boolean, what: string | (() => string)): Promise<void> {
		const end = performance.now() + 10_000;
		while (performance.now() < end) {
			if (await holds()) {
				return;
			}

			await delay(20);
		}

		throw new Error(`not within 10 s: ${typeof what === 'string' ? what : what()}`);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const gateway of this.gateways.values()) {
			if (gateway.child.exitCode === null && gateway.child.signalCode === null) {
				await this.killGateway(gateway);
			}
		}

		for (const worker of [...this.workers.values(), ...this.#rawWorkers]) {
			worker.crash();
		}

		this.store.close();
		await rm(this.#folder, {recursive: true});
	}

	/** Address at which other gateways reach one, also before its start and after its restart. */
	#peerAddressOf(name: string): string {
		const address = this.#peerAddresses.get(name) ?? this.#allocate();
		this.#peerAddresses.set(name, address);
		return address;
	}

	#allocate(): string {
		this.#nextPort += 1;
		return `${this.#address}:${this.#nextPort}`;
	}
}

/** Texts of the events of a stream, in order. */
export function eventsOf(body: string): string[] {
	return body.split('\n\n').filter(event => event !== '').map(event => event.split('data: ')[1] ?? '');
}

/** The events that a stream must have. */
export function expectedEvents(count: number): string[] {
	return Array.from({length: count}, (_unused, index) => `token ${index + 1}`);
}
