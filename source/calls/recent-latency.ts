/**
 * Recent latency of each service, from which the time of a hedge follows.
 *
 * @module
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Options of {@linkcode RecentLatency}. */
export type RecentLatencyOptions = {
	/** Time after which samples are forgotten, in milliseconds. Default 60,000; they last half as long at least. */
	keptMilliseconds?: number;
	/** Samples without which there is no percentile. Default 20. */
	fewestSamples?: number;
};

type Window = {since: number; current: Histogram; previous: Histogram | undefined};

const longestMilliseconds = 120_000;

/** Units of the histogram in one millisecond. */
const unitsPerMillisecond = 100;

/**
 * Records latencies in two windows that follow each other.
 *
 * @example
 * ```ts
 * latency.record('orders', 12, now);
 * const hedgeAfter = latency.percentile('orders', 95, now);
 * ```
 */
export class RecentLatency {
	readonly #windowMilliseconds: number;
	readonly #fewestSamples: number;
	readonly #windows = new Map<string, Window>();

	constructor(options: RecentLatencyOptions = {}) {
		this.#windowMilliseconds = (options.keptMilliseconds ?? 60_000) / 2;
		this.#fewestSamples = options.fewestSamples ?? 20;
	}

	/** Records one latency, in milliseconds. */
	record(service: string, milliseconds: number, now: number): void {
		this.#window(service, now).current.recordValue(Math.min(longestMilliseconds, milliseconds) * unitsPerMillisecond);
	}

	/** Returns a percentile in milliseconds, or `undefined` with too few samples. */
	percentile(service: string, percentile: number, now: number): number | undefined {
		const {current, previous} = this.#window(service, now);
		const histogram = current.totalCount >= this.#fewestSamples ? current : previous;
		return histogram && histogram.totalCount >= this.#fewestSamples
			? histogram.getValueAtPercentile(percentile) / unitsPerMillisecond
			: undefined;
	}

	#window(service: string, now: number): Window {
		const window = this.#windows.get(service);
		if (!window || now - window.since >= this.#windowMilliseconds) {
			const recent = window && now - window.since < 2 * this.#windowMilliseconds ? window.current : undefined;
			const next = {since: now, current: buildHistogram(), previous: recent};
			this.#windows.set(service, next);
			return next;
		}

		return window;
	}
}

function buildHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: longestMilliseconds * unitsPerMillisecond, numberOfSignificantValueDigits: 2});
}
