/**
 * Random numbers from a seed.
 *
 * @module
 */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

/** Draws from one seed, always the same. */
export class Random {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** A whole number from `least` to `most`, both included. */
	integer(least: number, most: number): number {
		return unsafeUniformIntDistribution(least, most, this.#generator);
	}

	/** True with a probability, in hundredths. */
	chance(percent: number): boolean {
		return this.integer(1, 100) <= percent;
	}

	/** One of some values. */
	pick<Value>(values: readonly Value[]): Value {
		return values[this.integer(0, values.length - 1)]!;
	}
}
