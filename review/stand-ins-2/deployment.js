/**
 * A small deployment on loopback addresses: a store, workers, and gateways that run as processes of their own with the command of the deploy file.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {rmSync} from 'node:fs';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {get} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {StoreStandIn} from '../../dist/testing/stand-ins/store-stand-in.js';
import {workerEntry} from '../../dist/testing/stand-ins/worker-entry.js';
import {Recorder} from './recorder.js';
import {fillIn} from './settings.js';

const repository = path.join(import.meta.dirname, '..', '..');

/** Bounds of the small deployments, as their sheets state them. */
const bounds = {
	// eslint-disable-next-line camelcase -- The platform's name.
	ttl_max_s: 5,
	configApplyMs: 2000, drainMs: 2000, revokeMs: 5000, graceS: 8, retryBudgetRatio: 0.8, retrySlack: 300, budgetWindowS: 10,
};

const contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform'];

/** Memory and descriptors of the smallest machine of the small deployments. */
const limits = {memoryMb: 186, maxFds: 2069};

const heartbeatMilliseconds = 1200;
const startMilliseconds = 15_000;
/** A case runs for 120 seconds at most. */
const longestMilliseconds = 110_000;

export const routeHost = 'desk.example';
export const apiKey = 'key-1';
export const tenant = 'tenant-1';

const shared = {host: routeHost, allowAnonymous: false};

/** The routes of a small deployment, with its times. */
export const routes = {
	draft: {
		...shared,
		name: 'draft',
		prefix: '/drafts/',
		kind: 'stream',
		timeoutMs: 25_000,
		targetLatencyMs: 4500,
		priority: 1,
		service: 'scribe',
		maxAttempts: 5,
		resumable: true,
		gapAimMs: 700,
		stickySessions: true,
	},
	deposit: {
		...shared, name: 'deposit', prefix: '/deposits/', kind: 'non_idempotent', timeoutMs: 800, targetLatencyMs: 100, priority: 2, service: 'desk', maxAttempts: 1,
	},
	status: {
		...shared, name: 'status', prefix: '/status/', kind: 'idempotent', timeoutMs: 800, targetLatencyMs: 100, priority: 2, service: 'desk', maxAttempts: 2,
	},
};

const engine = {
	slots: 64, kvCapacity: 88_000, kvTokenBytes: 163_840, linkMbps: 260_000, moves: true, backups: true, stride: 6, most: 12, pinMs: 4000, holdMs: 2000, handleS: 4, models: [{name: 'm'}],
};

const plainService = {healthPath: '/health', maxConnections: 200};

/** A configuration as the operator writes it. */
function configurationRow({version = 1, keys = [apiKey], routes: listed = Object.values(routes)}) {
	return {
		version,
		routes: listed,
		services: [
			{
				name: 'scribe', healthPath: '/health', maxConnections: 720, engine,
			},
			...[...new Set(['desk', ...listed.map(({service}) => service)])].filter(name => name !== 'scribe').map(name => ({name, ...plainService})),
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: tenant, apiKeys: keys, priority: 1}],
	};
}

export class Deployment {
	static async create({record}) {
		const folder = await mkdtemp(path.join(tmpdir(), 'azuretack-review-'));
		const number = process.pid % 60_000;
		const address = `127.${100 + (number % 100)}.${Math.floor(number / 250) % 250}.${1 + (number % 250)}`;
		const store = await StoreStandIn.start(`${address}:7000`);
		store.era = 1;
		const deployment = new Deployment({
			folder, address, store, record,
		});
		deployment.configure();
		return deployment;
	}

	store;
	record;
	gateways = new Map();
	#folder;
	#address;
	#nextPort = 8000;
	#beats;
	#entries = new Map();

	constructor({folder, address, store, record}) {
		this.#folder = folder;
		this.#address = address;
		this.store = store;
		this.record = record;
	}

	get storeAddress() {
		return `${this.#address}:7000`;
	}

	/** The operator writes a configuration. */
	configure(options = {}) {
		this.store.put('op', 'config', configurationRow(options));
		this.record.write(`operator: configuration acknowledged: ${JSON.stringify(options)}`);
	}

	/** A free address. */
	allocate() {
		this.#nextPort += 1;
		return `${this.#address}:${this.#nextPort}`;
	}

	/** A worker registers, and writes its entry again and again from then on. */
	register(id, {service, address, startedAt, zone = 'dublin-a', slots = service === 'scribe' ? 64 : 6}) {
		const entry = workerEntry({
			service, address, zone, startedAt,
		});
		this.#write(id, {...entry, slots});
		this.#beats ??= setInterval(() => {
			for (const [name, current] of this.#entries) {
				this.store.put('servers', name, current);
			}
		}, heartbeatMilliseconds);
	}

	/** A worker writes that it leaves. */
	drain(id) {
		this.#write(id, {...this.#entries.get(id), state: 'draining'});
		this.record.write(`${id}: state draining acknowledged`);
	}

	/** A worker's entry goes. */
	unregister(id) {
		this.#entries.delete(id);
		this.store.remove('servers', id);
	}

	/**
	 * Starts a gateway with the command of the deploy file, and waits until it says that it is ready.
	 *
	 * @param {string} name Name of its machine.
	 * @param {{zone?: string, store?: string, peers?: string, seeds?: string[], advertisedPeers?: string}} options Addresses other than the defaults.
	 */
	async startGateway(name, {zone = 'dublin-a', store = this.storeAddress, peers = this.allocate(), seeds = [], advertisedPeers} = {}) {
		const deployFile = await readFile(path.join(repository, 'deploy', 'system.toml'), 'utf8');
		const command = /^run = "(?<command>[^"]+)"/mv.exec(deployFile).groups.command.split(' ');
		const template = await readFile(path.join(repository, /^template = "(?<path>[^"]+)"/mv.exec(deployFile).groups.path), 'utf8');
		const listen = {
			front: this.allocate(), ready: this.allocate(), control: peers, directory: this.allocate(),
		};
		this.#nextPort += 1;
		const settings = fillIn(template, {
			node: name,
			zone,
			region: 'dublin',
			ip: this.#address,
			listen,
			portRange: [this.#nextPort, this.#nextPort],
			seeds,
			heartbeatMs: heartbeatMilliseconds,
			platform: {address: store},
			bounds,
			limits,
			contracts,
		});
		const file = path.join(this.#folder, `${name}.jsonc`);
		// Other gateways may reach it through a proxy of the script.
		await writeFile(file, advertisedPeers ? settings.replace('"store":', `"advertise": {"peers": "${advertisedPeers}"},\n\t"store":`) : settings);
		const gateway = {
			name, ...this.#spawn(name, command, file), callers: listen.front, readiness: listen.ready, entries: listen.directory, peers, endedBy: undefined,
		};
		gateway.child.on('exit', (code, signal) => {
			gateway.endedBy = signal ?? `exit code ${code}`;
			this.record.write(`gateway ${name} has ended: ${gateway.endedBy}`);
		});
		this.gateways.set(name, gateway);
		await until(async () => isReady(gateway), startMilliseconds, () => `${name} is ready; ${gateway.log.join('').slice(-2000)}`);
		this.record.write(`gateway ${name} is ready`);
		return gateway;
	}

	/** Ends all processes that were started, and the store. */
	async close() {
		clearInterval(this.#beats);
		for (const {child} of this.gateways.values()) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}

		this.store.close();
		await rm(this.#folder, {recursive: true, force: true});
	}

	/** Ends all processes and removes the temporary folder at once, when the script itself has to end. */
	abandon() {
		for (const {child} of this.gateways.values()) {
			child.kill('SIGKILL');
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}

	#write(id, entry) {
		this.#entries.set(id, entry);
		this.store.put('servers', id, entry);
	}

	/** Starts a process with as many descriptors as its machine has; the shell becomes the process, which keeps its id. */
	#spawn(name, command, file) {
		const child = spawn('/bin/sh', ['-c', `ulimit -n ${limits.maxFds} && exec "$@"`, 'sh', ...command], {
			cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, AZURETACK_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = [];
		for (const output of [child.stdout, child.stderr]) {
			output.setEncoding('utf8');
			output.on('data', text => {
				log.push(text);
			});
		}

		return {child, log};
	}
}

/** Whether a gateway answers that it takes requests. */
export async function isReady({readiness}) {
	return new Promise(resolve => {
		const [hostname, port] = readiness.split(':');
		const request = get({
			hostname, port, path: '/api/ready', agent: false, timeout: 1000,
		}, response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		request.on('timeout', () => {
			request.destroy(new Error('no answer'));
		});
		request.on('error', () => {
			resolve(false);
		});
	});
}

/** Waits until something holds. */
export async function until(holds, milliseconds, describe) {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		if (await holds()) {
			return;
		}

		await delay(20);
	}

	throw new Error(`not in time: ${describe()}`);
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param {string} recordFile Path of the case's `record.txt`.
 * @param {(context: {record: Recorder, deployment: Deployment, hasTrouble: boolean}) => Promise<string | undefined>} play Returns how the rule was broken, if it was.
 */
export async function runCase(recordFile, play) {
	const record = new Recorder(recordFile);
	const hasTrouble = process.env.TROUBLE !== '0';
	record.write(hasTrouble ? 'with the disruption' : 'without the disruption');
	let deployment;
	let code = 2;
	const giveUp = reason => {
		deployment?.abandon();
		record.write(`the case could not run: ${reason}`);
		// eslint-disable-next-line unicorn/no-process-exit -- The exit code of a case is its verdict.
		process.exit(2);
	};

	const watchdog = setTimeout(giveUp, longestMilliseconds, 'it took too long');
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(signal, giveUp);
	}

	try {
		deployment = await Deployment.create({record});
		const broken = await play({record, deployment, hasTrouble});
		record.write(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
		console.log(broken === undefined ? 'held' : `broken: ${broken}`);
		code = broken === undefined ? 0 : 1;
	} catch (error) {
		record.write(`the case could not run: ${error.stack}`);
		console.error(error);
	} finally {
		clearTimeout(watchdog);
		await deployment?.close();
	}

	// eslint-disable-next-line unicorn/no-process-exit -- The exit code of a case is its verdict, and stand-ins still listen.
	process.exit(code);
}
