/**
 * Gateways before workers whose processes end under certain requests and come back.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type GatewaySettings} from '../settings/gateway-settings.ts';
import {type CallerAnswer} from './call.ts';
import {disposeOnFailure} from './dispose-on-failure.ts';
import {GatewayFleet, type CallerRequest, type GatewayProcess} from './gateway-fleet.ts';
import {findLateSends} from './late-sends.ts';
import {type WorkerArrival, type WorkerRun, type WorkerStandInOptions} from './stand-ins/worker-options.ts';
import {type WorkerStandIn} from './stand-ins/worker-stand-in.ts';

/** Body of the requests that end workers. */
export const endingBody = 'ends the process';

/** Begins the names of attempts that end workers. */
export const endingAttempt = 'ending-';

/** Time within which all gateways must know of a request that has ended three workers, in milliseconds: the users' `contactMs`. */
export const knownMilliseconds = 3000;

/** Options of {@linkcode EndingFleet.create}. */
export type EndingFleetOptions = {
	service: 'desk' | 'scribe';
	gateways: number;
	workers: number;
	/** Time after which an ended worker is back, in milliseconds. Default 2,000. */
	backMilliseconds?: number;
	bounds?: Partial<GatewaySettings['bounds']>;
	/** Changes to each worker. */
	worker?: Partial<WorkerStandInOptions>;
	/** Whether a run ends its worker. Default: one with {@linkcode endingBody} does. */
	endsUnder?: (run: WorkerRun) => boolean;
};

/**
 * A fleet whose workers end when they begin a request with {@linkcode endingBody}.
 *
 * @example
 * ```ts
 * await using ending = await EndingFleet.create({service: 'desk', gateways: 3, workers: 8});
 * await ending.repeat({path: '/status/1'}, {everyMilliseconds: 400, forMilliseconds: 8000});
 * ending.lateSends();
 * ```
 */
export class EndingFleet implements AsyncDisposable {
	static async create(options: EndingFleetOptions): Promise<EndingFleet> {
		const ending = new EndingFleet(await GatewayFleet.create(), options);
		return disposeOnFailure(ending, async () => {
			await Promise.all(Array.from({length: options.workers}, async (_unused, index) => ending.#startWorker(index + 1, 1)));
			await Promise.all(Array.from({length: options.gateways}, async (_unused, index) => ending.startGateway(`gateway-${index + 1}`)));
			return ending;
		});
	}

	readonly fleet: GatewayFleet;
	/** When a worker ended under such a request. */
	readonly ends: number[] = [];
	/** What reached workers, whether they ran it or refused it. */
	readonly #reached: WorkerArrival[] = [];
	readonly #options: EndingFleetOptions;
	readonly #ending = new AbortController();

	private constructor(fleet: GatewayFleet, options: EndingFleetOptions) {
		this.fleet = fleet;
		this.#options = options;
	}

	/** When a request that ends workers reached one. */
	get arrivals(): number[] {
		return this.#reached.filter(({attempt}) => attempt.startsWith(endingAttempt)).map(({at}) => at);
	}

	/** Gateways that run, in the order of their start. */
	get gateways(): GatewayProcess[] {
		return [...this.fleet.gateways.values()];
	}

	/** Workers that run. */
	get workers(): WorkerStandIn[] {
		return [...this.fleet.workers.values()];
	}

	async startGateway(name: string): Promise<GatewayProcess> {
		return this.fleet.startGateway(name, this.#options.bounds);
	}

	/** Sends a request to one gateway after the other, each time once the answer before is there; returns the answers. */
	async repeat(request: CallerRequest, {everyMilliseconds, forMilliseconds}: {everyMilliseconds: number; forMilliseconds: number}): Promise<CallerAnswer[]> {
		const answers: CallerAnswer[] = [];
		const until = performance.now() + forMilliseconds;
		while (performance.now() < until) {
			const {gateways} = this;
			const gateway = gateways[answers.length % Math.max(1, gateways.length)];
			if (gateway) {
				const attempt = request.body === endingBody ? `${endingAttempt}${answers.length}` : undefined;
				answers.push(await this.fleet.call(gateway, {...request, attempt}));
			}

			await delay(everyMilliseconds);
		}

		return answers;
	}

	/** Arrivals of the request at workers later than all must know of it. */
	lateSends(): number[] {
		return findLateSends(this, knownMilliseconds);
	}

	/** Ends a worker for a reason of its own; it comes back as one that ended under a request does. */
	async endWorker(worker: WorkerStandIn): Promise<void> {
		worker.crash();
		await this.#bringBack(worker.options.id);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#ending.abort();
		await this.fleet[Symbol.asyncDispose]();
	}

	async #startWorker(place: number, life: number): Promise<void> {
		const {service, worker: changes} = this.#options;
		const id = `${service}-${place}.${life}`;
		const worker = await this.fleet.startWorker({
			id,
			service,
			arrivals: this.#reached,
			endsUnder: this.#options.endsUnder ?? (({body}) => body === endingBody),
			onEnd: () => {
				this.ends.push(performance.now());
				void this.#bringBack(id);
			},
			...changes,
		});
		if (this.#ending.signal.aborted) {
			worker.crash();
		}
	}

	/** Starts a worker anew under another name, as one that ended does after some seconds, and drops the entry that it had. */
	async #bringBack(id: string): Promise<void> {
		this.fleet.workers.delete(id);
		const [place, life] = id.split('-')[1]!.split('.').map(Number);
		try {
			await delay(this.#options.backMilliseconds ?? 2000, undefined, {signal: this.#ending.signal});
		} catch {
			return;
		}

		await this.#startWorker(place!, life! + 1);
		this.fleet.store.remove('servers', id);
	}
}
