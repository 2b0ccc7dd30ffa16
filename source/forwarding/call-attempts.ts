/**
 * The attempts of one plain call that are in progress.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {type CallAttempt} from './call-attempt.ts';
import {type HeldAnswer, type HeldAnswers} from './held-answers.ts';

/** What an attempt runs with. */
export type AttemptContext = {
	/** Ends the attempt. */
	signal: AbortSignal;
	/** Bounds what is held of its answer. */
	held: HeldAnswer;
};

/** Options of {@linkcode CallAttempts}. */
export type CallAttemptsOptions = {
	heldAnswers: HeldAnswers;
	/** Aborts when the caller has left. */
	callerGone: AbortSignal;
	/** Steady time, in milliseconds. */
	clock: () => number;
};

type InProgress = {ending: AbortController; held: HeldAnswer};

/**
 * Runs attempts side by side, one at each endpoint.
 *
 * @example
 * ```ts
 * attempts.start(endpoint, async ({signal, held}) => send(endpoint, signal, held));
 * const ended = await attempts.next(until);
 * ```
 */
export class CallAttempts {
	readonly #options: CallAttemptsOptions;
	readonly #inProgress = new Map<string, InProgress>();
	/** Attempts whose end has not been looked at yet, by endpoint. */
	readonly #pending = new Map<string, Promise<CallAttempt>>();
	#hasEnded = false;

	constructor(options: CallAttemptsOptions) {
		this.#options = options;
	}

	/** Attempts whose end has not been looked at yet. */
	get pending(): number {
		return this.#pending.size;
	}

	/** Whether what becomes of the attempts does not matter any more: the call has its answer or was given up. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Starts an attempt. */
	start(endpoint: EndpointEntry, run: (context: AttemptContext) => Promise<CallAttempt>): void {
		const ending = new AbortController();
		const held = this.#options.heldAnswers.begin();
		this.#inProgress.set(endpoint.id, {ending, held});
		this.#pending.set(endpoint.id, run({signal: ending.signal, held}));
	}

	/** Waits for the end of an attempt, or until a time; `undefined` when the time came first or the caller left. */
	async next(until: number): Promise<CallAttempt | undefined> {
		const {callerGone, clock} = this.#options;
		if (callerGone.aborted) {
			return undefined;
		}

		let timer: NodeJS.Timeout | undefined;
		let onGone: (() => void) | undefined;
		const interrupted = new Promise<undefined>(resolve => {
			onGone = () => {
				resolve(undefined);
			};

			timer = setTimeout(onGone, Math.max(0, until - clock()));
			callerGone.addEventListener('abort', onGone);
		});
		const step = await Promise.race([...this.#pending.values(), interrupted]);
		clearTimeout(timer);
		callerGone.removeEventListener('abort', onGone!);
		if (step) {
			this.#pending.delete(step.endpoint.id);
		}

		return step;
	}

	/**
	 * Ends all attempts but one, which goes on until a time or until the caller leaves.
	 *
	 * @param endpoint Endpoint of the attempt that goes on.
	 * @param until Steady time at which it ends, in milliseconds.
	 * @returns Aborts when it ends.
	 */
	keepOnly({id}: EndpointEntry, until: number): AbortSignal {
		const {callerGone, clock} = this.#options;
		const kept = this.#inProgress.get(id)!;
		this.#hasEnded = true;
		for (const [other, {ending, held}] of this.#inProgress) {
			if (other !== id) {
				held.release();
				ending.abort();
			}
		}

		const end = () => {
			kept.ending.abort();
		};

		const timer = setTimeout(end, Math.max(0, until - clock()));
		kept.ending.signal.addEventListener('abort', () => {
			clearTimeout(timer);
		});
		if (callerGone.aborted) {
			end();
		} else {
			callerGone.addEventListener('abort', end);
		}

		return kept.ending.signal;
	}

	/** Ends all attempts; what is held of their answers is released once the caller has its own. */
	endAll(response: ServerResponse): void {
		this.#hasEnded = true;
		for (const {ending} of this.#inProgress.values()) {
			ending.abort();
		}

		const release = () => {
			for (const {held} of this.#inProgress.values()) {
				held.release();
			}
		};

		if (response.closed || response.destroyed) {
			release();
		} else {
			response.once('close', release);
		}
	}
}
