/**
 * Rounds of asking engines to go on with a generation that cannot be refused any more.
 *
 * @module
 */
import {pause} from '../supervision/pause.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';

/** First pause of a generation that waits, in milliseconds; engines that were full are avoided for less. Each further pause is twice as long. */
const firstPauseMilliseconds = 250;

/** Longest pause, in milliseconds. */
const maximumPauseMilliseconds = 1000;

/** Options of {@linkcode EngineRounds}. */
export type EngineRoundsOptions = {
	exchange: Exchange;
	dependencies: Pick<ForwardingDependencies, 'endpoints' | 'logger' | 'clock'>;
	/** Ids of engines that must not be used again; engines are removed from it when a round begins. */
	tried: Set<string>;
};

/**
 * Decides whether a generation that no engine takes now is offered to them again.
 *
 * A caller that has received events cannot be refused any more: if its stream is given up, what it has received is lost. Nor can a request
 * whose engine was lost be, as a refusal states that it has not run. So these wait for an engine, whereas any other request is refused at once and
 * may return, or gets the error that its engine answered.
 *
 * @example
 * ```ts
 * rounds.recordEnd(endpoint.id, 'again');
 * if (await rounds.next({isLost: true})) {
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

	/**
	 * Records the end of an attempt.
	 *
	 * @param id Id of the engine.
	 * @param use `again` if the engine refused the generation, or was left for its silence, so that the next round may use it again.
	 */
	recordEnd(id: string, use: 'again' | 'never'): void {
		if (use === 'again') {
			this.#refusedBy.add(id);
		} else {
			this.#refusedBy.delete(id);
		}
	}

	/** Waits between two attempts of a later round, so that a generation that waits does not use up the retry budget. */
	async pace(): Promise<void> {
		if (this.#hasWaited) {
			await this.#pause();
		}
	}

	/**
	 * Waits until the next round begins, or until the retry budget is asked again.
	 *
	 * @param state Whether the engine that ran the generation last was lost, so that neither its answer nor a refusal can be sent.
	 * @returns Whether engines are asked again; false if the caller can still get an answer, if waiting is of no use since all engines have lost it,
	 * or if the deadline has passed or the caller has left meanwhile.
	 */
	async next({isLost}: {isLost: boolean}): Promise<boolean> {
		const {exchange: {requestName, response, deadline, callerDisconnected}, dependencies: {logger, clock}, tried} = this.#options;
		const canBeAnswered = !response.headersSent && !isLost;
		if (canBeAnswered || callerDisconnected.aborted || !this.#mayFindEngine()) {
			return false;
		}

		if (!this.#hasWaited) {
			this.#hasWaited = true;
			logger.info('generation waits for an engine', {request: requestName, refusedBy: [...this.#refusedBy]});
		}

		await this.#pause();
		for (const id of this.#refusedBy) {
			tried.delete(id);
		}

		return clock() < deadline && !callerDisconnected.aborted;
	}

	async #pause(): Promise<void> {
		const {exchange: {deadline, callerDisconnected}, dependencies: {clock}} = this.#options;
		await pause(Math.min(this.#nextPauseMilliseconds, Math.max(0, deadline - clock())), callerDisconnected);
		this.#nextPauseMilliseconds = Math.min(this.#nextPauseMilliseconds * 2, maximumPauseMilliseconds);
	}

	/** Whether an engine may take the generation later: one that refused it, or one that asks to back off or lacks permits now. */
	#mayFindEngine(): boolean {
		const {exchange: {service}, dependencies: {endpoints, clock}, tried} = this.#options;
		return this.#refusedBy.size > 0 || endpoints.endpointsOf(service.name, clock()).some(({id}) => !tried.has(id));
	}
}
