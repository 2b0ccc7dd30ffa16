/**
 * Aborts a connection on which no data has arrived for some time.
 *
 * @module
 */

/** Aborts its signal when no activity has been recorded within the timeout, or when another signal aborts. */
export class IdleTimeout {
	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;
	readonly #stopController = new AbortController();
	#milliseconds: number;
	#lastActivityAt = performance.now();

	constructor(milliseconds: number, signal: AbortSignal) {
		this.#milliseconds = milliseconds;
		this.#timer = setInterval(() => {
			if (performance.now() - this.#lastActivityAt >= this.#milliseconds) {
				this.#abort('no data arrived within the idle timeout');
			}
		}, checkMilliseconds);
		signal.addEventListener('abort', () => {
			this.#abort('the call exceeded its deadline');
		}, {signal: this.#stopController.signal});
	}

	/** Aborts on the idle timeout or when the outer signal aborts. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Changes the idle timeout, in milliseconds. */
	setLimit(milliseconds: number): void {
		this.#milliseconds = milliseconds;
	}

	/** Records that data arrived. */
	recordActivity(): void {
		this.#lastActivityAt = performance.now();
	}

	/** Stops the timer and no longer follows the outer signal. */
	stop(): void {
		clearInterval(this.#timer);
		this.#stopController.abort();
	}

	#abort(message: string): void {
		this.stop();
		this.#controller.abort(new Error(message));
	}
}

/** Time between two checks for activity, in milliseconds. */
const checkMilliseconds = 50;
