/**
 * The processes and stand-ins of a soak, and what the operator does.
 *
 * @module
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {takeLoopbackAddress} from '../loopback-address.ts';
import {type RetryBounds} from '../retry-excess.ts';
import {configurationRow} from '../stand-ins/configuration-row.ts';
import {StoreStandIn, type StoreCopy, type StoreFault} from '../stand-ins/store-stand-in.ts';
import {SoakGateway} from './gateway-process.ts';
import {createHistory, type History} from './history.ts';
import {retryBounds} from './plan.ts';
import {type Random} from './random.ts';
import {prefixes} from './requests.ts';
import {WorkerSlot} from './worker-slots.ts';

/** Workers of each service. */
const workerCounts = {scribe: 4, desk: 3, 'desk-b': 2};

/** Service whose workers run for a while at the addresses of each service's workers. */
const otherServices: Record<string, string> = {scribe: 'desk', desk: 'desk-b', 'desk-b': 'desk'};

const availabilityZones = ['zone-a', 'zone-b', 'zone-c'];

/** Time for which endpoints register again after the store is back, in milliseconds. */
const registerMilliseconds = 1500;

/** Tables of which the operator and the workers write again what a restored store has lost. */
const writtenTables = ['op', 'servers'];

/** Time between two copies of the store, in milliseconds, and how many are kept. */
const copyMilliseconds = 500;
const keptCopies = 24;

/** Configurations of a storm. */
const stormLength = 8;

/** Time between two configurations of a storm, in milliseconds. */
const stormGapMilliseconds = 150;

/** Time from the start of gateways to that of the load, in milliseconds. */
const startMilliseconds = 4000;

/** Gateways that start at once. */
const startsAtOnce = 8;

/** Options of {@linkcode SoakWorld.create}. */
export type SoakWorldOptions = {gateways: number; random: Random; retryBounds?: RetryBounds};

type WorldParts = {address: string; store: StoreStandIn; folder: string; random: Random; history: History};

/** All that a soak runs. */
export class SoakWorld implements AsyncDisposable {
	/** Creates a store, workers and links; no gateway runs yet. */
	static async create({gateways, random, retryBounds: bounds = retryBounds.usual}: SoakWorldOptions): Promise<SoakWorld> {
		const address = takeLoopbackAddress();
		const store = await StoreStandIn.start(`${address}:7000`);
		const folder = await mkdtemp(path.join(tmpdir(), 'azuretack-soak-'));
		const world = new SoakWorld({
			address, store, folder, random, history: createHistory(bounds),
		});
		await world.#open(gateways);
		return world;
	}

	readonly history: History;
	readonly store: StoreStandIn;
	readonly gateways: SoakGateway[] = [];
	readonly slots: WorkerSlot[] = [];
	readonly #address: string;
	readonly #folder: string;
	readonly #random: Random;
	readonly #keys: Record<string, string[]> = {'workspace-1': ['key-1'], 'workspace-2': ['key-2'], 'workspace-3': ['key-3']};
	readonly #services: Record<string, string> = {[prefixes.idempotent]: 'desk', [prefixes.once]: 'desk', [prefixes.generation]: 'scribe'};
	/** Copies of the store, the oldest first. */
	#copies: Array<{at: number; content: StoreCopy}> = [];
	#copying: NodeJS.Timeout | undefined;
	readonly #storeFaults: Array<{fault: StoreFault}> = [];
	#storedConfiguration: unknown;
	#nextPort = 8000;
	#version = 0;
	#keysMade = 0;

	private constructor({
		address, store, folder, random, history,
	}: WorldParts) {
		this.history = history;
		this.store = store;
		this.#address = address;
		this.#folder = folder;
		this.#random = random;
	}

	/** Starts all gateways that do not run. */
	async startGateways(): Promise<void> {
		for (let first = 0; first < this.gateways.length; first += startsAtOnce) {
			await Promise.all(this.gateways.slice(first, first + startsAtOnce).map(async gateway => gateway.start()));
			await delay(first + startsAtOnce < this.gateways.length ? 500 : 0);
		}
	}

	/** Starts all gateways, and waits until the load may start. */
	async startAll(): Promise<void> {
		const end = this.disturb('gateways start', 'all');
		await this.startGateways();
		await delay(startMilliseconds);
		end();
	}

	/** Notes how much memory the gateways have had. */
	async noteMemory(): Promise<void> {
		for (const gateway of this.gateways) {
			const megabytes = await gateway.peakMegabytes();
			if (megabytes !== undefined) {
				this.history.memory.push({gateway: gateway.name, at: performance.now(), megabytes});
			}
		}
	}

	/** Gateway behind an address that callers use. */
	gatewayAt(callers: string): SoakGateway | undefined {
		return this.gateways.find(({callersLink}) => callersLink.address === callers);
	}

	/** Publishes configurations: one, a storm, or one that takes a key away or moves a route. */
	async changeConfiguration(variant: string): Promise<void> {
		for (let change = 0; change < (variant === 'storm' ? stormLength : 1); change += 1) {
			this.#draw(variant === 'storm' || variant === 'once' ? this.#random.pick(['key taken away', 'route moved', 'route added']) : variant);
			this.publish();
			await delay(stormGapMilliseconds);
		}
	}

	/** Publishes the present configuration as a new version. */
	publish(isStored = true): void {
		this.#version += 1;
		const services = {...this.#services};
		const keys = structuredClone(this.#keys);
		if (isStored) {
			this.#storedConfiguration = configurationRow({
				version: this.#version, routes: routeRows(services), keys, plainServices: ['desk', 'desk-b'], connections: 500,
			});
			this.store.put('op', 'config', this.#storedConfiguration);
		}

		this.history.configurations.push({
			version: this.#version, at: performance.now(), keys, services,
		});
	}

	/** Gives a workspace a new key in place of the one that it has. */
	withdrawKey(workspace: string): void {
		this.#keysMade += 1;
		this.#keys[workspace] = [`key-new-${this.#keysMade}`];
	}

	/** Moves a route to the other plain service. */
	moveRoute(prefix: string): void {
		this.#services[prefix] = this.#services[prefix] === 'desk' ? 'desk-b' : 'desk';
	}

	/** Starts a fault of the store, which hides those that last already; the result ends it. */
	harmStore(fault: StoreFault): () => void {
		const active = {fault};
		this.#storeFaults.push(active);
		this.store.fault = fault;
		return () => {
			this.#storeFaults.splice(this.#storeFaults.indexOf(active), 1);
			this.store.fault = this.#storeFaults.at(-1)?.fault ?? 'none';
		};
	}

	/** Takes the store away; it comes back from the copy that is at least so old, and what the operator and workers wrote since is written again. */
	restoreStore(ageMilliseconds: number): () => Promise<void> {
		const end = this.harmStore('reset');
		return async () => {
			const before = this.store.copy();
			const copy = this.#copies.findLast(({at}) => at <= performance.now() - ageMilliseconds) ?? this.#copies[0]!;
			this.store.restore(copy.content);
			end();
			await delay(registerMilliseconds * this.#random.integer(1, 100) / 100);
			this.store.rewrite(before, writtenTables);
			// An earlier return may have taken the configuration from what this one found.
			this.store.put('op', 'config', this.#storedConfiguration);
		};
	}

	/** Silences the store; entries of workers go meanwhile, and are back soon after it is. */
	lapseEntries(): () => Promise<void> {
		const end = this.harmStore('silent');
		for (const {id} of this.slots) {
			this.store.remove('servers', id);
		}

		return async () => {
			end();
			await delay(registerMilliseconds);
			for (const slot of this.slots) {
				slot.register();
			}
		};
	}

	/** Records that something is harmed; the result records that it is over. */
	disturb(kind: string, target: string): () => void {
		const disturbance: History['disturbances'][number] = {
			kind, target, from: performance.now(), until: undefined,
		};
		this.history.disturbances.push(disturbance);
		return () => {
			disturbance.until = performance.now();
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#copying);
		await Promise.all(this.gateways.map(async gateway => gateway.close()));
		for (const slot of this.slots) {
			slot.close();
		}

		this.store.close();
		await rm(this.#folder, {recursive: true});
	}

	#copyStore(): void {
		this.#copies = [...this.#copies.slice(1 - keptCopies), {at: performance.now(), content: this.store.copy()}];
	}

	async #open(gateways: number): Promise<void> {
		this.#copyStore();
		this.#copying = setInterval(() => {
			this.#copyStore();
		}, copyMilliseconds);
		const shared = {store: this.store, history: this.history, allocate: () => this.#allocate()};
		this.publish();
		for (const [service, count] of Object.entries(workerCounts)) {
			for (let index = 0; index < count; index += 1) {
				const slot = new WorkerSlot({
					...shared, name: `${service}-${index + 1}`, service, otherService: otherServices[service]!, availabilityZone: availabilityZones[index % availabilityZones.length]!,
				});
				this.slots.push(slot);
				await slot.link.start();
				await slot.start();
			}
		}

		for (let index = 0; index < gateways; index += 1) {
			const gateway = new SoakGateway({
				...shared, name: `gateway-${index + 1}`, availabilityZone: availabilityZones[index % availabilityZones.length]!, folder: this.#folder, store: `${this.#address}:7000`,
			});
			this.gateways.push(gateway);
			await gateway.open();
		}
	}

	#draw(change: string): void {
		const changes: Record<string, () => void> = {
			'key taken away': () => {
				this.withdrawKey(this.#random.pick(Object.keys(this.#keys)));
			},
			'route moved': () => {
				this.moveRoute(this.#random.pick([prefixes.idempotent, prefixes.once]));
			},
			'route added': () => {
				this.#services[`/added-${this.#version}/`] = 'desk';
			},
		};
		changes[change]!();
	}

	#allocate(): string {
		this.#nextPort += 1;
		return `${this.#address}:${this.#nextPort}`;
	}
}

/** Host name of all routes. */
export const soakHost = 'soak.example';

/** Routes as the operator writes them. */
function routeRows(services: Record<string, string>): Array<Record<string, unknown>> {
	const terms: Record<string, Record<string, unknown>> = {
		[prefixes.once]: {kind: 'non_idempotent', timeoutMs: 3000, maxAttempts: 1},
		[prefixes.generation]: {
			kind: 'stream', timeoutMs: 15_000, maxAttempts: 5, resumable: true, gapAimMs: 700,
		},
	};
	return Object.entries(services).map(([prefix, service]) => ({
		name: prefix, host: soakHost, prefix, kind: 'idempotent', timeoutMs: 3000, targetLatencyMs: 500, priority: 1, service, maxAttempts: 2, ...terms[prefix],
	}));
}
