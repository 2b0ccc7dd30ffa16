/**
 * Places of the soak's workers: an address behind a link, at which one worker after another runs.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Link} from '../stand-ins/link.ts';
import {type StoreStandIn} from '../stand-ins/store-stand-in.ts';
import {type WorkerRun} from '../stand-ins/worker-options.ts';
import {WorkerStandIn} from '../stand-ins/worker-stand-in.ts';
import {type History} from './history.ts';
import {endsWorkers, eventText, lastEventOf} from './requests.ts';

/** Time without a heartbeat after which the store drops a worker's entry, in milliseconds. */
const lapseMilliseconds = 3000;

/** Time for which a leaving worker still serves, in milliseconds. */
const leavingMilliseconds = 3500;

/** Time after which an address may be used again, in milliseconds. */
const reuseMilliseconds = 2000;

/** Time from the end of a worker to the start of the next at its place, in milliseconds. */
const restartMilliseconds = 1000;

/** Time from the end of a suspension to the next one at least, in milliseconds: a worker that is silent again and again is not sound. */
const betweenSuspensionsMilliseconds = 3000;

/** Options of {@linkcode WorkerSlot}. */
export type WorkerSlotOptions = {
	name: string;
	service: string;
	/** Service of the worker that takes its address for a while. */
	otherService: string;
	availabilityZone: string;
	store: StoreStandIn;
	history: History;
	allocate: () => string;
};

/** A place and its present worker. */
export class WorkerSlot {
	readonly name: string;
	readonly link: Link;
	readonly #options: WorkerSlotOptions;
	readonly #listen: string;
	#worker: WorkerStandIn | undefined;
	#incarnation = 0;
	#isBusy = false;
	#isClosed = false;

	constructor(options: WorkerSlotOptions) {
		this.#options = options;
		this.name = options.name;
		this.#listen = options.allocate();
		this.link = new Link(options.allocate(), this.#listen);
	}

	/** The worker that runs, or ran last. */
	get worker(): WorkerStandIn {
		return this.#worker!;
	}

	/** Name under which the store knows the present worker. */
	get id(): string {
		return this.worker.options.id;
	}

	/** Starts a worker and registers it. */
	async start(service = this.#options.service): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		await this.link.start();
		this.#incarnation += 1;
		const id = `${this.name}-${this.#incarnation}`;
		this.#options.history.slots.set(id, this.name);
		this.#worker = await WorkerStandIn.start({
			id,
			service,
			listen: this.#listen,
			advertised: this.link.address,
			availabilityZone: this.#options.availabilityZone,
			eventMilliseconds: 30,
			callMilliseconds: 10,
			runs: this.#options.history.runs,
			arrivals: this.#options.history.arrivals,
			answerOf: ({worker, attempt}) => `answer of ${worker} to ${attempt} ${'.'.repeat(700)}`,
			eventsOf: ({body}: WorkerRun) => lastEventOf(body),
			eventOf: ({body}: WorkerRun, event) => eventText(body, event),
			endsUnder: ({body}) => endsWorkers(body),
			onEnd: run => {
				void this.#endUnder(run);
			},
		});
		this.register();
	}

	/** Writes the present worker's entry. */
	register(): void {
		this.#options.store.put('servers', this.id, this.worker.entry());
	}

	/** The worker dies; its entry goes some seconds later, and the next one starts. */
	async crash(): Promise<void> {
		await this.#exclusively(async () => {
			await this.#crash();
		});
	}

	/** The worker leaves as planned, or its entry goes without a word; it serves on for a while, and the next one starts. */
	async leave(isAnnounced: boolean): Promise<void> {
		await this.#exclusively(async () => {
			const {store, history} = this.#options;
			if (isAnnounced) {
				store.put('servers', this.id, this.worker.entry('draining'));
			} else {
				store.remove('servers', this.id);
			}

			history.leavings.push({worker: this.id, at: performance.now()});
			await delay(leavingMilliseconds);
			store.remove('servers', this.id);
			await this.#end();
			await this.start();
		});
	}

	/** The worker says in its answers that it leaves, before its entry does, serves on for a while and ends, and the next one starts. */
	async sayLeaving(): Promise<void> {
		await this.#exclusively(async () => {
			const {id} = this;
			this.worker.saysLeaving = true;
			await delay(leavingMilliseconds);
			await this.#end();
			this.#options.store.remove('servers', id);
			await this.start();
		});
	}

	/** The worker dies, and one of another service runs at its address for a while. */
	async replace(): Promise<void> {
		await this.#exclusively(async () => {
			const {id} = this;
			this.#kill();
			void this.#lapse(id);
			await delay(reuseMilliseconds);
			await this.start(this.#options.otherService);
			await delay(lapseMilliseconds);
			this.#options.store.remove('servers', this.id);
			this.#kill();
			await delay(reuseMilliseconds);
			await this.start();
		});
	}

	/** Suspends the present worker for a while, unless it was suspended shortly before. */
	suspend(milliseconds: number): void {
		const from = performance.now();
		const {suspension} = this.worker;
		if (from < suspension.until + betweenSuspensionsMilliseconds) {
			return;
		}

		suspension.start(milliseconds);
		this.#options.history.suspensions.push({worker: this.id, from, until: suspension.until});
	}

	/** The present worker names a limit in its answers from now on, or none. */
	nameLimit(limit: number | undefined): void {
		this.worker.limit = limit?.toString();
		this.#options.history.limits.push({worker: this.id, at: performance.now(), limit});
	}

	/** Ends the worker for good and closes the link. */
	close(): void {
		this.#isClosed = true;
		this.worker.crash();
		this.link.close();
	}

	/** Ends a worker that has left, which cuts what it still does. */
	async #end(): Promise<void> {
		const disturbance = {
			kind: 'worker ends', target: this.name, from: performance.now(), until: performance.now(),
		};
		this.#options.history.disturbances.push(disturbance);
		this.#kill();
		await delay(reuseMilliseconds);
		disturbance.until = performance.now();
	}

	/** A request has ended the worker; what else ran there is excused until the next one runs. */
	async #endUnder({attempt}: WorkerRun): Promise<void> {
		const {history} = this.#options;
		const disturbance = {
			kind: 'worker ended under a request', target: this.name, from: performance.now(), until: undefined as number | undefined,
		};
		history.endings.push({attempt, at: performance.now()});
		history.disturbances.push(disturbance);
		await this.#exclusively(async () => this.#crash());
		disturbance.until = performance.now();
	}

	async #crash(): Promise<void> {
		const {id} = this;
		this.#kill();
		void this.#lapse(id);
		await delay(restartMilliseconds);
		await this.start();
	}

	/** Ends the worker; nothing listens at its address then. */
	#kill(): void {
		this.worker.crash();
		this.link.refuse();
	}

	async #lapse(id: string): Promise<void> {
		await delay(lapseMilliseconds);
		this.#options.store.remove('servers', id);
	}

	/** One change of a place at a time: what meets another one is left out. */
	async #exclusively(change: () => Promise<void>): Promise<void> {
		if (this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		await change();
		this.#isBusy = false;
	}
}
