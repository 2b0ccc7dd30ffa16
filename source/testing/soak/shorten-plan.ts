/**
 * Makes a schedule that breaks a promise smaller.
 *
 * @module
 */
import {type SoakPlan} from './plan.ts';

/**
 * Leaves out halves, then quarters and so on of the faults, as long as the schedule still fails.
 *
 * @param plan A schedule that fails.
 * @param fails Plays a schedule and tells whether it fails in the same way.
 * @param mostPlays Schedules played at most.
 */
export async function shortenPlan(plan: SoakPlan, fails: (plan: SoakPlan) => Promise<boolean>, mostPlays: number): Promise<SoakPlan> {
	let shortest = plan;
	let plays = 0;
	for (let size = Math.ceil(plan.faults.length / 2); size >= 1; size = size === 1 ? 0 : Math.ceil(size / 2)) {
		for (let first = 0; first < shortest.faults.length && plays < mostPlays; plays += 1) {
			const candidate = {...shortest, faults: shortest.faults.filter((_fault, index) => index < first || index >= first + size)};
			if (await fails(candidate)) {
				shortest = candidate;
			} else {
				first += size;
			}
		}
	}

	return shortest;
}
