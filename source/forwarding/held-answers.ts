/**
 * Bounds what a gateway holds of endpoints' answers.
 *
 * Answers the load of endpoints whose answers never end, as many at once as there are connections: an answer is held so that the request
 * may still go elsewhere if it breaks off, which is worth a bounded amount of memory.
 *
 * @module
 */

/** Options of {@linkcode HeldAnswers}. */
export type HeldAnswersOptions = {
	/** Bytes that are held of one answer at most. */
	answerBytes: number;
	/** Bytes that are held of all answers together at most. */
	totalBytes: number;
	/** Answers that are passed on as they come at a time at most; each takes the buffers of two connections. */
	passedOn: number;
};

/** What is held of one answer. */
export type HeldAnswer = {
	/** Sets how much is held; returns whether that is within the bounds. */
	hold(bytes: number): boolean;
	/** Passes it on as it comes from now on, so that nothing is held; returns whether one more may be passed on. */
	passOn(): boolean;
	/** Nothing is held any more, and it is not passed on any more. */
	release(): void;
};

/**
 * Counts the bytes that are held.
 *
 * @example
 * ```ts
 * const held = heldAnswers.begin();
 * if (!held.hold(chunk.length)) answer.abandon();
 * held.release();
 * ```
 */
export class HeldAnswers {
	readonly #options: HeldAnswersOptions;
	#total = 0;
	#passedOn = 0;

	constructor(options: HeldAnswersOptions) {
		this.#options = options;
	}

	/** Bytes held of all answers. */
	get total(): number {
		return this.#total;
	}

	/** Begins to hold an answer. */
	begin(): HeldAnswer {
		let held = 0;
		let isPassedOn = false;
		const hold = (bytes: number) => {
			this.#total += bytes - held;
			held = bytes;
			return held <= this.#options.answerBytes && this.#total <= this.#options.totalBytes;
		};

		return {
			hold,
			passOn: () => {
				hold(0);
				const mayPass = isPassedOn || this.#passedOn < this.#options.passedOn;
				this.#passedOn += mayPass && !isPassedOn ? 1 : 0;
				isPassedOn ||= mayPass;
				return mayPass;
			},
			release: () => {
				hold(0);
				this.#passedOn -= isPassedOn ? 1 : 0;
				isPassedOn = false;
			},
		};
	}
}
