/**
 * What all cases share: a record, addresses, a store, workers and gateways, and the end of all of them.
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Gateway} from './gateway.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

const zones = ['dublin-a', 'dublin-b', 'dublin-c', 'dublin-d'];

/** Time after which a case is given up, in milliseconds. */
const timeLimitMilliseconds = 110_000;

export class World {
	gateways = [];
	workers = [];
	store = new Store();
	/** Whether the disruption takes place. */
	hasTrouble = process.env.TROUBLE !== '0';
	#lines = [];
	#logs = '';
	#startedAt = performance.now();
	#nextAddress = 0;

	/** Writes a line to the record. */
	note(line) {
		this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} s  ${line}`);
	}

	/** Returns a loopback address that no other process uses. */
	address() {
		this.#nextAddress += 1;
		const number = (process.pid * 64) + this.#nextAddress;
		return `127.${20 + (Math.floor(number / 62_500) % 200)}.${Math.floor(number / 250) % 250}.${1 + (number % 250)}`;
	}

	/** Starts the store and prepares gateways, the first three of which are seeds. */
	async open({gateways}) {
		this.folder = await mkdtemp(path.join(tmpdir(), 'azuretack-review-'));
		const storeAddress = `${this.address()}:8223`;
		await this.store.start(storeAddress);
		const addresses = Array.from({length: gateways}, () => this.address());
		const seeds = addresses.slice(0, 3).map(seed => `${seed}:8229`);
		this.gateways = addresses.map((ip, index) => new Gateway({
			name: `front-${zones[index % zones.length]}-${1 + Math.floor(index / zones.length)}`,
			ip,
			zone: zones[index % zones.length],
			zones,
			seeds,
			store: storeAddress,
			folder: this.folder,
			log: lines => {
				this.#logs += lines;
			},
		}));
	}

	async addWorker(options) {
		const worker = new Worker({
			zone: zones[this.workers.length % zones.length],
			address: `${this.address()}:8120`,
			store: this.store,
			log: line => {
				this.note(line);
			},
			...options,
		});
		await worker.start();
		this.workers.push(worker);
		return worker;
	}

	async startGateways() {
		await Promise.all(this.gateways.map(async gateway => gateway.start()));
		await Promise.all(this.gateways.map(async gateway => gateway.untilReady()));
	}

	/** All runs of all workers. */
	get runs() {
		return this.workers.flatMap(worker => worker.runs);
	}

	/** Ends all processes and stand-ins, and writes the record. */
	async close() {
		await Promise.all(this.gateways.map(async gateway => gateway.kill()));
		for (const worker of this.workers) {
			worker.end();
		}

		this.store.close();
		if (this.folder) {
			await rm(this.folder, {recursive: true, force: true});
		}

		if (process.env.REVIEW_LOGS) {
			await writeFile(process.env.REVIEW_LOGS, this.#logs);
		}

		await writeFile(process.env.RECORD ?? 'record.txt', `${this.#lines.join('\n')}\n`);
	}
}

/**
 * Runs a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `play` returns what broke the rule.
 */
export async function runCase(play) {
	const world = new World();
	const exit = async code => {
		await world.close();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	const timer = setTimeout(() => {
		world.note('the case took too long');
		exit(2).catch(() => undefined);
	}, timeLimitMilliseconds);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			world.note(`the case was ended by ${signal}`);
			exit(2).catch(() => undefined);
		});
	}

	let code = 2;
	try {
		const breaches = await play(world);
		for (const breach of breaches) {
			world.note(`RULE BROKEN: ${breach}`);
		}

		world.note(breaches.length === 0 ? 'the rule held' : `the rule was broken ${breaches.length} times`);
		code = breaches.length === 0 ? 0 : 1;
	} catch (error) {
		world.note(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
	}

	clearTimeout(timer);
	await exit(code);
}
