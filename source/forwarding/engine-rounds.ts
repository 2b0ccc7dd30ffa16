/**
 * Rounds of asking engines to go on with a stream that has begun.
 *
 * @module
 */
import {pause} from '../supervision/pause.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** First pause of a stream that waits, in milliseconds; engines that were full are avoided for less. Each further pause is twice as long. */
const firstPauseMilliseconds = 250;

/** Longest pause, in milliseconds. */
const maximumPauseMilliseconds = 1000;

/** Options of {@linkcode EngineRounds}. */
export type EngineRoundsOptions = {
	exchange: Exchange;
	dependencies: Pick<ForwardingDependencies, 'logger'>;
	/** Ids of engines that must not be used again; engines are removed from it when a round begins. */
	tried: Set<string>;
};

/**
 * Decides whether a generation that no engine takes now is offered to them again.
 *
 * A caller that has received events cannot be refused any more: if its stream is given up, what it has received is lost. So a stream that
 * has begun waits for an engine, whereas a request without a response is refused at once and may return.
 *
 * @example
 * ```ts
 * rounds.recordRefusal(endpoint.id);
 * if (await rounds.next()) {
 * 	// Choose an engine again.
 * }
 * ```
 */
export class EngineRounds {
	readonly #options: EngineRoundsOptions;
	/** Ids of engines that refused the generation, or were left for their silence, and may be asked again. */
	readonly #refusedBy = new Set<string>();
	#nextPauseMilliseconds = firstPauseMilliseconds;
	#hasWaited = false;

	constructor(options: EngineRoundsOptions) {
		this.#options = options;
	}

	/** Records that an engine has refused the generation, or was left for its silence, so that only the next round may use it again. */
	recordRefusal(id: string): void {
		this.#refusedBy.add(id);
	}

	/** Waits between two attempts of a later round, so that a stream that waits does not use up the retry budget. */
	async pace(): Promise<void> {
		if (this.#hasWaited) {
			await this.#pause();
		}
	}

	/**
	 * Waits until the retry budget is asked again.
	 *
	 * @returns Whether it is asked again; false under the same conditions as for {@linkcode next}.
	 */
	async waitForBudget(): Promise<boolean> {
		if (!this.#mayWait) {
			return false;
		}

		await this.#pause();
		return true;
	}

	/**
	 * Waits until the next round begins.
	 *
	 * @returns Whether engines are asked again; false if the response has not begun, or if waiting is of no use since no engine refused it.
	 */
	async next(): Promise<boolean> {
		if (!await this.waitForBudget()) {
			return false;
		}

		for (const id of this.#refusedBy) {
			this.#options.tried.delete(id);
		}

		this.#refusedBy.clear();
		return true;
	}

	async #pause(): Promise<void> {
		const {exchange: {requestName, callerDisconnected}, dependencies: {logger}} = this.#options;
		if (!this.#hasWaited) {
			this.#hasWaited = true;
			logger.info('stream waits for an engine', {request: requestName, refusedBy: [...this.#refusedBy]});
		}

		await pause(this.#nextPauseMilliseconds, callerDisconnected);
		this.#nextPauseMilliseconds = Math.min(this.#nextPauseMilliseconds * 2, maximumPauseMilliseconds);
	}

	get #mayWait(): boolean {
		const {response, callerDisconnected} = this.#options.exchange;
		return response.headersSent && this.#refusedBy.size > 0 && !callerDisconnected.aborted;
	}
}
