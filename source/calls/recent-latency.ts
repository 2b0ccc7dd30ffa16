/**
 * Recent latency of each service, which determines when a call is hedged.
 *
 * @module
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Options of {@linkcode RecentLatency}. */
export type RecentLatencyOptions = {
	/** Maximum age of samples, in milliseconds. Default 60,000; samples are kept for at least half of it. */
	retentionMilliseconds?: number;
	/** Minimum number of samples for a percentile. Default 20. */
	minimumSamples?: number;
};

type Window = {startedAt: number; current: Histogram; previous: Histogram | undefined};

/** Largest recorded latency, in milliseconds; longer ones are recorded as this value. */
const maximumMilliseconds = 120_000;

/** Units of the histogram in one millisecond. */
const unitsPerMillisecond = 100;

/**
 * Records latencies in two consecutive windows of time.
 *
 * @example
 * ```ts
 * latency.record('orders', 12, now);
 * const hedgeAfter = latency.percentile('orders', 95, now);
 * ```
 */
export class RecentLatency {
	readonly #windowMilliseconds: number;
	readonly #minimumSamples: number;
	readonly #windows = new Map<string, Window>();

	constructor(options: RecentLatencyOptions = {}) {
		this.#windowMilliseconds = (options.retentionMilliseconds ?? 60_000) / 2;
		this.#minimumSamples = options.minimumSamples ?? 20;
	}

	/** Records one latency, in milliseconds. */
	record(service: string, milliseconds: number, now: number): void {
		this.#window(service, now).current.recordValue(Math.min(maximumMilliseconds, milliseconds) * unitsPerMillisecond);
	}

	/** Returns a percentile in milliseconds, or `undefined` with too few samples. */
	percentile(service: string, percentile: number, now: number): number | undefined {
		const {current, previous} = this.#window(service, now);
		const histogram = current.totalCount >= this.#minimumSamples ? current : previous;
		return histogram && histogram.totalCount >= this.#minimumSamples
			? histogram.getValueAtPercentile(percentile) / unitsPerMillisecond
			: undefined;
	}

	#window(service: string, now: number): Window {
		const window = this.#windows.get(service);
		if (!window || now - window.startedAt >= this.#windowMilliseconds) {
			const recent = window && now - window.startedAt < 2 * this.#windowMilliseconds ? window.current : undefined;
			const next = {startedAt: now, current: buildHistogram(), previous: recent};
			this.#windows.set(service, next);
			return next;
		}

		return window;
	}
}

function buildHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: maximumMilliseconds * unitsPerMillisecond, numberOfSignificantValueDigits: 2});
}
