/**
 * The schedule of a soak: which faults start when, drawn from a seed.
 *
 * @module
 */
import * as z from 'zod';
import {type RetryBounds} from '../retry-excess.ts';
import {faultKinds} from './fault-kinds.ts';
import {Random} from './random.ts';

const faultSchema = z.object({
	/** Start, in milliseconds from that of the load. */
	at: z.number().nonnegative(),
	kind: z.string(),
	/** Which gateway or worker, as a number that is taken modulo how many there are. */
	target: z.number().int().nonnegative(),
	/** One of the kind's variants. */
	variant: z.string(),
	/** How long it lasts, in milliseconds. */
	forMilliseconds: z.number().positive(),
});

/** Schema of a schedule; regression cases are files of this form. */
export const soakPlanSchema = z.object({
	/** What was found with it, for regression cases. */
	description: z.string().default(''),
	seed: z.number().int(),
	gateways: z.number().int().positive(),
	/** Time in which faults start, in milliseconds. */
	faultMilliseconds: z.number().positive(),
	/** Whether all gateways are killed after that. */
	allKilled: z.boolean(),
	/** How many retries the gateways may make: `scarce` ones are used up whenever workers fail. */
	retries: z.enum(['usual', 'scarce']).default('usual'),
	faults: z.array(faultSchema),
});

/** A fault of a schedule. */
export type PlannedFault = z.output<typeof faultSchema>;

/** A schedule. */
export type SoakPlan = z.output<typeof soakPlanSchema>;

/** Mean time between two starts of faults, in milliseconds. */
const meanGapMilliseconds = 900;

/** Shortest and longest fault, in milliseconds. */
const duration = {shortest: 200, longest: 6000};

/** Chance that a fault comes as a series, in hundredths. */
const seriesPercent = 25;

/** Faults in a series. */
const seriesLength = 3;

/** Chance that all gateways are killed after the faults, in hundredths. */
const allKilledPercent = 40;

/** Chance that retries are scarce, in hundredths. */
const scarcePercent = 50;

/** Bounds of the retry budget by how many retries there are. */
export const retryBounds: Record<SoakPlan['retries'], RetryBounds> = {
	usual: {ratio: 0.8, slack: 40, windowMilliseconds: 10_000},
	scarce: {ratio: 0.1, slack: 10, windowMilliseconds: 10_000},
};

/** Options of {@linkcode drawPlan}. */
export type DrawPlanOptions = {seed: number; gateways: number; faultMilliseconds: number};

/**
 * Draws a schedule; the same options give the same one.
 *
 * @param options Seed and size.
 */
export function drawPlan({seed, gateways, faultMilliseconds}: DrawPlanOptions): SoakPlan {
	const random = new Random(seed);
	const faults: PlannedFault[] = [];
	for (let at = random.integer(0, meanGapMilliseconds); at < faultMilliseconds; at += random.integer(1, 2 * meanGapMilliseconds)) {
		const kind = random.pick(Object.keys(faultKinds));
		const {variants} = faultKinds[kind]!;
		const fault = {
			kind, target: random.integer(0, 999), variant: random.pick(variants), forMilliseconds: random.integer(duration.shortest, duration.longest),
		};
		const repeats = random.chance(seriesPercent) ? seriesLength : 1;
		const gap = random.integer(100, duration.longest);
		for (let repeat = 0; repeat < repeats; repeat += 1) {
			faults.push({at: at + (repeat * gap), ...fault});
		}
	}

	return {
		description: '',
		seed,
		gateways,
		faultMilliseconds,
		allKilled: random.chance(allKilledPercent),
		retries: random.chance(scarcePercent) ? 'scarce' : 'usual',
		faults: faults.filter(({at}) => at < faultMilliseconds).toSorted((left, right) => left.at - right.at),
	};
}
