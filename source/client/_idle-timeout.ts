/**
 * Gives up a connection on which nothing has come for a time.
 *
 * @module
 */

/** Aborts its signal when it has not been touched for a time, or when another signal aborts. */
export class IdleTimeout {
	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;
	readonly #stop = new AbortController();
	#milliseconds: number;
	#touchedAt = performance.now();

	constructor(milliseconds: number, signal: AbortSignal) {
		this.#milliseconds = milliseconds;
		this.#timer = setInterval(() => {
			if (performance.now() - this.#touchedAt >= this.#milliseconds) {
				this.#abort('the connection went silent');
			}
		}, checkMilliseconds);
		signal.addEventListener('abort', () => {
			this.#abort('the call took too long');
		}, {signal: this.#stop.signal});
	}

	/** Aborts when the time is over. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Changes the time without a byte after which the connection is given up, in milliseconds. */
	limit(milliseconds: number): void {
		this.#milliseconds = milliseconds;
	}

	/** Records that something came. */
	touch(): void {
		this.#touchedAt = performance.now();
	}

	/** Ends the timeout. */
	stop(): void {
		clearInterval(this.#timer);
		this.#stop.abort();
	}

	#abort(message: string): void {
		this.stop();
		this.#controller.abort(new Error(message));
	}
}

/** Time between two looks at the connection, in milliseconds. */
const checkMilliseconds = 50;
