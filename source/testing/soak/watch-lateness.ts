/**
 * Records when the soak's own process is late: it plays callers, workers, store and links, so that what they see is then its own doing.
 *
 * @module
 */
import {type EventLoopUtilization} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type History} from './history.ts';

/** Time between two looks at how late timers run, in milliseconds. */
const lookMilliseconds = 50;

/** Lateness of a timer that counts, in milliseconds. */
const lateMilliseconds = 250;

/** Time over which the share of time is taken in which the event loop had work, in milliseconds. */
const loadMilliseconds = 1000;

/** That share from which this process falls behind: it accepts one new connection of each listener in a turn of the event loop, so that they queue up. */
const saturatedShare = 0.95;

/** Name of the disturbance. */
export const lateProcess = 'this process is late';

/** Whether this process was late at some time since the given one. */
export function wasLate({disturbances}: History, since: number): boolean {
	return disturbances.some(({kind, until}) => kind === lateProcess && (until ?? Number.POSITIVE_INFINITY) >= since);
}

/**
 * Watches this process until the signal aborts.
 *
 * @param history Where lateness is recorded.
 * @param signal Ends the watch.
 * @param measureLoad Measures the load of the event loop since an earlier measurement. Default that of this process.
 */
export async function watchLateness(history: History, signal: AbortSignal, measureLoad: (since?: EventLoopUtilization) => EventLoopUtilization = since => performance.eventLoopUtilization(since)): Promise<void> {
	let loadFrom = performance.now();
	let load = measureLoad();
	while (!signal.aborted) {
		const before = performance.now();
		await delay(lookMilliseconds);
		const now = performance.now();
		if (now - before > lookMilliseconds + lateMilliseconds) {
			record(history, before, now);
		}

		if (now - loadFrom >= loadMilliseconds) {
			if (measureLoad(load).utilization >= saturatedShare) {
				record(history, loadFrom, now);
			}

			loadFrom = now;
			load = measureLoad();
		}
	}
}

function record({disturbances}: History, from: number, until: number): void {
	disturbances.push({
		kind: lateProcess, target: 'all', from, until,
	});
}
