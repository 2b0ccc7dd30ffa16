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
};

/** What is held of one answer. */
export type HeldAnswer = {
	/** Sets how much is held; returns whether that is within the bounds. */
	hold(bytes: number): boolean;
	/** Nothing is held any more. */
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
		const hold = (bytes: number) => {
			this.#total += bytes - held;
			held = bytes;
			return held <= this.#options.answerBytes && this.#total <= this.#options.totalBytes;
		};

		return {
			hold,
			release() {
				hold(0);
			},
		};
	}
}
