/**
 * Looks for windows in which requests reach a service once more than the retry budget allows.
 *
 * @module
 */
import {type WorkerArrival} from './stand-ins/worker-options.ts';

/** Retries that all gateways together may make in any window. */
export type RetryBounds = {
	/** Retries for each request. */
	ratio: number;
	/** Retries beyond that. */
	slack: number;
	windowMilliseconds: number;
};

/** Retries of one window, and how many of them are allowed. */
export type RetryExcess = {retries: number; allowed: number};

/** Spans, in windows before the one that is looked at, whose requests allow retries: the span with most of them counts. */
const requestSpans = [0, 0.5, 1];

/**
 * Returns the first window with more retries than are allowed.
 *
 * @param arrivals What reached one service, in order.
 * @param sentAt When each request for it was sent, in milliseconds.
 * @param bounds The budget.
 */
export function findRetryExcess(arrivals: readonly WorkerArrival[], sentAt: readonly number[], {ratio, slack, windowMilliseconds}: RetryBounds): RetryExcess | undefined {
	const repeats = repeatsOf(arrivals);
	const within = (times: readonly number[], from: number) => times.filter(at => at >= from && at < from + windowMilliseconds).length;
	for (const from of repeats) {
		const requests = Math.max(...requestSpans.map(windows => within(sentAt, from - (windows * windowMilliseconds))));
		const excess = {retries: within(repeats, from), allowed: (ratio * requests) + slack};
		if (excess.retries > excess.allowed) {
			return excess;
		}
	}

	return undefined;
}

/** Times of arrivals other than the first one of each attempt. */
function repeatsOf(arrivals: readonly WorkerArrival[]): number[] {
	const attempts = new Set<string>();
	return arrivals.flatMap(({attempt, at}) => {
		const isRepeat = attempts.has(attempt);
		attempts.add(attempt);
		return isRepeat ? [at] : [];
	});
}
