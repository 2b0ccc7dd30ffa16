/**
 * One real gateway of the soak, behind links of its own.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {rename, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Link} from '../stand-ins/link.ts';
import {memoryFlags, peakMegabytes} from '../process-memory.ts';
import {type History} from './history.ts';

const program = path.join(import.meta.dirname, '..', '..', 'binaries', 'azuretack-gateway.js');

/** Loaded before the program, so that the time of day can be moved. */
const clockModule = path.join(import.meta.dirname, 'movable-clock.js');

/** Time from SIGTERM to SIGKILL, in milliseconds. */
const graceMilliseconds = 8000;

/** Options of {@linkcode SoakGateway}. */
export type SoakGatewayOptions = {
	name: string;
	availabilityZone: string;
	folder: string;
	store: string;
	history: History;
	/** Gives a new address. */
	allocate: () => string;
};

/** A gateway and its links. */
export class SoakGateway {
	readonly name: string;
	readonly availabilityZone: string;
	readonly callersLink: Link;
	readonly storeLink: Link;
	readonly peersLink: Link;
	readonly entries: string;
	/** What its processes wrote, newest last. */
	readonly log: string[] = [];
	readonly #options: SoakGatewayOptions;
	readonly #listen: Record<'callers' | 'readiness' | 'entries' | 'peers' | 'metrics', string>;
	#child: ChildProcess | undefined;
	#filesWritten = 0;
	#hasLogged = false;
	#isEndExpected = false;
	#isClosed = false;

	constructor(options: SoakGatewayOptions) {
		const {allocate} = options;
		this.#options = options;
		this.name = options.name;
		this.availabilityZone = options.availabilityZone;
		this.#listen = {
			callers: allocate(), readiness: allocate(), entries: allocate(), peers: allocate(), metrics: allocate(),
		};
		this.entries = this.#listen.entries;
		this.callersLink = new Link(allocate(), this.#listen.callers);
		this.storeLink = new Link(allocate(), options.store);
		this.peersLink = new Link(allocate(), this.#listen.peers);
	}

	/** Process id of the process that runs, if one does. */
	get pid(): number | undefined {
		return this.#isRunning ? this.#child?.pid : undefined;
	}

	/** Opens its links. */
	async open(): Promise<void> {
		await Promise.all([this.callersLink.start(), this.storeLink.start(), this.peersLink.start()]);
		await this.writeSettings(false);
	}

	/** Starts its process, unless one runs. */
	async start(): Promise<void> {
		// A start with broken settings ends at once, as it should; only a running gateway is told of those.
		await this.writeSettings(false);
		if (this.#isRunning || this.#isClosed) {
			return;
		}

		const child = spawn(process.execPath, [...memoryFlags, '--import', clockModule, program, '--settings', this.#file], {stdio: ['pipe', 'pipe', 'pipe']});
		this.#child = child;
		this.#hasLogged = false;
		this.#isEndExpected = false;
		for (const output of [child.stdout, child.stderr]) {
			output.on('data', (data: Uint8Array) => {
				this.#hasLogged ||= child === this.#child;
				this.log.push(new TextDecoder().decode(data));
			});
		}

		// A process that is gone cannot be told anything; its end is recorded below.
		child.stdin.on('error', () => undefined);
		child.on('exit', (code, signal) => {
			this.#options.history.ends.push({
				gateway: this.name, at: performance.now(), expected: this.#isEndExpected && (signal !== null || code === 0), reason: signal ?? `exit code ${code}`,
			});
		});
	}

	/** Sends a signal to its process, if one runs. */
	signal(name: NodeJS.Signals): void {
		if (this.#isRunning) {
			this.#child?.kill(name);
		}
	}

	/** Tells its process that its settings have changed, once it has logged a line: before Node has loaded the program, nothing can take that signal. */
	tellOfSettings(): void {
		if (this.#hasLogged) {
			this.signal('SIGHUP');
		}
	}

	/** Moves its time of day. */
	jump(milliseconds: number): void {
		this.#order('jump', milliseconds);
	}

	/** Has it use memory for nothing. */
	useMemory(megabytes: number): void {
		this.#order('use', megabytes);
	}

	/** The most memory that its process has had, in megabytes; absent where none runs. */
	async peakMegabytes(): Promise<number | undefined> {
		return this.pid === undefined ? undefined : peakMegabytes(this.pid);
	}

	/** Kills its process and waits until it is gone. */
	async kill(): Promise<void> {
		if (this.#isRunning) {
			this.#isEndExpected = true;
			this.#child?.kill('SIGKILL');
			await once(this.#child!, 'exit');
		}
	}

	/** Stops its process as planned; kills it when the time for that is over. */
	async stop(): Promise<void> {
		if (!this.#isRunning) {
			return;
		}

		this.#isEndExpected = true;
		this.#child?.kill('SIGTERM');
		const isGone = await Promise.race([once(this.#child!, 'exit'), delay(graceMilliseconds)]);
		if (!isGone) {
			await this.kill();
		}
	}

	/**
	 * Writes its settings file at once, as it should be or with a fault. A process that may not have read its settings yet is given none
	 * with a fault, since it would end, as it should.
	 */
	async writeSettings(isBroken: boolean): Promise<void> {
		if (isBroken && !(this.#isRunning && this.#hasLogged)) {
			return;
		}

		const {ratio, slack, windowMilliseconds} = this.#options.history.retryBounds;
		const settings = {
			hostName: isBroken ? 5 : this.name,
			availabilityZone: this.availabilityZone,
			region: 'home',
			listen: this.#listen,
			advertise: {callers: this.callersLink.address, peers: this.peersLink.address},
			store: this.storeLink.address,
			bounds: {retryRatio: ratio, retrySlack: slack, retryWindowSeconds: windowMilliseconds / 1000},
			log: {level: 'debug'},
		};
		this.#filesWritten += 1;
		const complete = `${this.#file}.${this.#filesWritten}`;
		await writeFile(complete, JSON.stringify(settings));
		await rename(complete, this.#file);
	}

	/** Ends its process for good and closes its links. */
	async close(): Promise<void> {
		this.#isClosed = true;
		this.signal('SIGCONT');
		await this.kill();
		for (const link of [this.callersLink, this.storeLink, this.peersLink]) {
			link.close();
		}
	}

	#order(order: 'jump' | 'use', amount: number): void {
		if (this.#isRunning) {
			this.#child?.stdin?.write(`${order} ${amount}\n`);
		}
	}

	get #isRunning(): boolean {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	get #file(): string {
		return path.join(this.#options.folder, `${this.name}.jsonc`);
	}
}
