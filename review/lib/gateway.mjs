/**
 * One gateway process, started with the command of the deploy file and settings from its template.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {call} from './caller.mjs';

const repository = path.join(import.meta.dirname, '..', '..');

const ports = {
	front: 8227,
	ready: 8220,
	control: 8229,
	directory: 8224,
	first: 7340,
	last: 7355,
};

/** Bounds of the site brushwake, under the names of the platform. */
export const bounds = {
	seedLagS: 3,
	addrReuseS: 2,
	contactMs: 3000,
	ackMs: 4000,
	catchUpS: 4,
	drainMs: 2000,
	graceS: 8,
	lossSlackMs: 200,
	configApplyMs: 2000,
	rollbackSlackMs: 250,
	skewMaxMs: 5000,
	strictRevoke: true,
	revokeMs: 5000,
	retryBudgetRatio: 0.8,
	budgetWindowS: 10,
	retrySlack: 300,
	recoverS: 12,
	passMs: 120,
	againS: 7.4,
	['ttl_max_s']: 5, // eslint-disable-line no-useless-computed-key
};

/** Returns the value at a path such as `listen.front`. */
function lookUp(scope, name) {
	let value = scope;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
}

/** Fills in a template as the deploy page says: values, sections, inverted sections. */
function render(template, scope) {
	const sections = template.replaceAll(/\{\{(?<sign>#|\^)(?<name>[^\}]+)\}\}(?<inside>[\s\S]*?)\{\{\/\k<name>\}\}/gv, (_whole, sign, name, inside) => {
		const value = lookUp(scope, name);
		const isPresent = value !== undefined && value !== null && value !== false;
		if (sign === '^') {
			return isPresent ? '' : render(inside, scope);
		}

		if (Array.isArray(value)) {
			const last = value.length - 1;
			return value.map((entry, index) => inside.replaceAll('{{.}}', entry).replaceAll('{{,}}', index < last ? ',' : '')).join('');
		}

		return isPresent ? render(inside, scope) : '';
	});
	return sections.replaceAll(/\{\{(?<name>[^\{\}]+)\}\}/gv, (_whole, name) => String(lookUp(scope, name) ?? ''));
}

/** Returns program and arguments of the deploy file's command. */
async function readCommand() {
	const deploy = await readFile(path.join(repository, 'deploy', 'system.toml'), 'utf8');
	const line = /^run = "(?<run>[^"]+)"/mv.exec(deploy).groups.run;
	const [program, ...words] = line.split(' ');
	return [program === 'node' ? process.execPath : program, words];
}

/** A gateway: its options are its name, address and zone, all zones, the seeds, the store's address, a folder, and what takes its log lines. */
export class Gateway {
	#options;
	#child;

	constructor(options) {
		this.#options = options;
		this.name = options.name;
		this.front = `${options.ip}:${ports.front}`;
		this.ready = `${options.ip}:${ports.ready}`;
		this.control = `${options.ip}:${ports.control}`;
		this.directory = `${options.ip}:${ports.directory}`;
	}

	get pid() {
		return this.#child?.pid;
	}

	get isRunning() {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	async start() {
		const {name, folder, log} = this.#options;
		const template = await readFile(path.join(repository, 'deploy', 'gateway.template.jsonc'), 'utf8');
		const file = path.join(folder, `${name}.jsonc`);
		await writeFile(file, render(template, this.#settings()));
		const [program, words] = await readCommand();
		const child = spawn(program, words, {
			cwd: repository,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, AZURETACK_SETTINGS: file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child = child;
		for (const output of [child.stdout, child.stderr]) {
			output.setEncoding('utf8');
			output.on('data', lines => {
				log(lines);
			});
		}
	}

	async isReady() {
		const answer = await call(this.ready, {path: '/api/ready', timeout: 1000});
		return answer.status === 200;
	}

	async untilReady(milliseconds = 10_000) {
		const end = performance.now() + milliseconds;
		while (!await this.isReady()) {
			if (performance.now() > end) {
				throw new Error(`${this.name} is not ready`);
			}

			await delay(25);
		}
	}

	signal(name) {
		if (this.isRunning) {
			this.#child.kill(name);
		}
	}

	/** Kills the process and waits until it has ended. */
	async kill() {
		if (this.isRunning) {
			const child = this.#child;
			const exit = once(child, 'exit');
			child.kill('SIGKILL');
			await exit;
		}
	}

	/** Stops the process as planned, and kills it when its grace is over. */
	async stop() {
		if (!this.isRunning) {
			return;
		}

		const child = this.#child;
		const exit = once(child, 'exit');
		child.kill('SIGTERM');
		await Promise.race([exit, delay(bounds.graceS * 1000)]);
		await this.kill();
	}

	#settings() {
		const {name, ip, zone, zones, seeds, store} = this.#options;
		return {
			node: name,
			role: 'gateway',
			machineClass: 'front',
			ip,
			zone,
			region: 'dublin',
			zones: Object.fromEntries(zones.map(each => [each, 'dublin'])),
			listen: {
				front: this.front,
				ready: this.ready,
				control: this.control,
				directory: this.directory,
			},
			portRange: [ports.first, ports.last],
			seeds,
			heartbeatMs: 1200,
			bounds,
			platform: {address: store},
		};
	}
}
