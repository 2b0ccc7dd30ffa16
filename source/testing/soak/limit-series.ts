/**
 * Limits that a worker of the soak names one after another.
 *
 * @module
 */
import {type WorkerSlot} from './worker-slots.ts';

/** Limits of each series, in requests a second. */
export const limitSeries: Record<string, readonly number[]> = {
	0.5: [0.5], 2: [2], 8: [8], lowered: [8, 1], raised: [1, 8],
};

/** Time from one of these to the next, in milliseconds. */
const limitStepMilliseconds = 1500;

/**
 * Lets a worker name the limits of a series, or one that cannot be read for a name that is no series.
 *
 * @param slot Place of the worker.
 * @param name Name of the series.
 * @returns Lifts the limit, unless another worker runs there by then.
 */
export function nameLimitSeries(slot: WorkerSlot, name: string): () => void {
	const {worker} = slot;
	const isSame = () => slot.worker === worker && worker.limit !== undefined;
	const [first, ...later] = limitSeries[name] ?? [];
	slot.nameLimit(first);
	worker.limit ??= 'many';
	const timers = later.map((limit, index) => setTimeout(() => {
		if (isSame()) {
			slot.nameLimit(limit);
		}
	}, (index + 1) * limitStepMilliseconds));
	return () => {
		for (const timer of timers) {
			clearTimeout(timer);
		}

		if (isSame()) {
			slot.nameLimit(undefined);
		}
	};
}
