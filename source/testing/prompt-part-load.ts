/**
 * A load of generations of which some have a prompt part that crashes each engine that begins to write on it.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type CallerAnswer} from './call.ts';
import {
	EndingFleet, endingAttempt, knownMilliseconds, type EndingFleetOptions,
} from './ending-fleet.ts';
import {findLateSends, partKnownAfterEnds} from './late-sends.ts';
import {Random} from './soak/random.ts';
import {type WorkerRun} from './stand-ins/worker-options.ts';

/** Prompt part that crashes engines. */
const crashingPart = 'dead';

/** Prompt part that sound requests have as well. */
const commonPart = 'c0';

const prefixHeader = 'x-azuretack-prompt-prefix';

/** Time from one attempt of a caller that got no answer to the next, in milliseconds. */
const repeatMilliseconds = 200;

/** Whether the prompt of a run has the part that crashes engines. */
export function hasCrashingPart({headers}: Pick<WorkerRun, 'headers'>): boolean {
	return String(headers[prefixHeader]).includes(`${crashingPart}:`);
}

/** Options of {@linkcode PromptPartLoad.play}. */
export type PromptPartLoadOptions = {
	/** Requests a second at all gateways together. */
	rate: number;
	/** Share of the requests that have the part. */
	share: number;
	forMilliseconds: number;
};

/** Seed of the draws. */
const seed = 1;

/**
 * A fleet of engines that crash on a prompt part, and callers of it.
 *
 * @example
 * ```ts
 * await using load = await PromptPartLoad.create({gateways: 4, workers: 12});
 * await load.play({rate: 20, share: 0.25, forMilliseconds: 12_000});
 * load.lateSends();
 * ```
 */
export class PromptPartLoad implements AsyncDisposable {
	static async create(options: Omit<EndingFleetOptions, 'service' | 'endsUnder'>): Promise<PromptPartLoad> {
		return new PromptPartLoad(await EndingFleet.create({
			service: 'scribe', ...options, endsUnder: hasCrashingPart, worker: {promptMilliseconds: 150, ...options.worker},
		}));
	}

	readonly ending: EndingFleet;
	/** First answers to the sound requests. */
	readonly #soundAnswers: CallerAnswer[] = [];
	#requests = 0;

	private constructor(ending: EndingFleet) {
		this.ending = ending;
	}

	/** Sends requests at a constant rate, repeats once those that are not served, and waits for all answers. */
	async play({rate, share, forMilliseconds}: PromptPartLoadOptions): Promise<void> {
		const random = new Random(seed);
		const startedAt = performance.now();
		const sent: Array<Promise<void>> = [];
		for (let number = 0; number < rate * forMilliseconds / 1000; number += 1) {
			await delay(Math.max(0, startedAt + (number * 1000 / rate) - performance.now()));
			sent.push(random.chance(share * 100) ? this.#sendCrashing() : this.#sendSound());
		}

		await Promise.all(sent);
	}

	/** Arrivals of requests with the part at engines later than all must know of it. */
	lateSends(): number[] {
		return findLateSends(this.ending, knownMilliseconds, partKnownAfterEnds);
	}

	/** Share of the sound requests that were served at the first attempt. */
	soundShare(): number {
		return this.#soundAnswers.filter(({status}) => status === 200).length / this.#soundAnswers.length;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.ending[Symbol.asyncDispose]();
	}

	async #sendCrashing(): Promise<void> {
		for (let attempt = 0; attempt < 2; attempt += 1) {
			const {status} = await this.#send(endingAttempt, [commonPart, crashingPart]);
			if (status === 200) {
				return;
			}

			await delay(repeatMilliseconds);
		}
	}

	async #sendSound(): Promise<void> {
		this.#soundAnswers.push(await this.#send('sound-', [commonPart]));
	}

	async #send(name: string, parts: readonly string[]): Promise<CallerAnswer> {
		this.#requests += 1;
		const {gateways, fleet} = this.ending;
		const own = `f${this.#requests.toString(16)}:7800`;
		return fleet.draft(gateways[this.#requests % gateways.length]!, {
			path: `/drafts/${this.#requests}`,
			body: `notes ${this.#requests}`,
			attempt: `${name}${this.#requests}`,
			headers: {[prefixHeader]: [...parts.map(part => `${part}:100`), own].join(',')},
		});
	}
}
