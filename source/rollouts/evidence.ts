/**
 * Counts how requests to the versions of a service ended.
 *
 * @module
 */
import * as z from 'zod';

/** Version that a request was sent to: the one that serves, or the one under trial. */
export type Arm = 'serving' | 'trial';

/** How an attempt at an endpoint ended. */
export type VersionedEnd = {
	arm: Arm;
	route: string;
	endpoint: string;
	/** Whether it failed: the endpoint answered with an error of its own, or its answer was lost. */
	isFailure: boolean;
	milliseconds: number;
};

/** Lower bound of the first duration bucket, in milliseconds, and the factor between two buckets. */
const firstBucketMilliseconds = 4;
const bucketFactor = 1.5;

/** Largest number of endpoints whose failures are counted one by one. */
const maximumEndpoints = 16;

const tallySchema = z.object({
	answers: z.number(),
	failures: z.number(),
	/** Good answers by duration bucket. */
	durations: z.record(z.string(), z.number()),
	/** Failures by endpoint. */
	failuresOf: z.record(z.string(), z.number()),
});

/** Counts of one version on one route. */
export type Tally = z.output<typeof tallySchema>;

/** Schema of the counts of one gateway, by route and version. */
export const evidenceSchema = z.object({
	order: z.string(),
	routes: z.record(z.string(), z.object({serving: tallySchema, trial: tallySchema})),
});

/** Counts for one order. */
export type Evidence = z.output<typeof evidenceSchema>;

/** Returns the number of the bucket of a duration. */
export function bucketOf(milliseconds: number): number {
	return Math.max(0, Math.floor(Math.log(Math.max(1, milliseconds) / firstBucketMilliseconds) / Math.log(bucketFactor)) + 1);
}

/** Number of buckets that a duration rises by when it is multiplied by a factor, rounded up. */
export function bucketsOfFactor(factor: number): number {
	return Math.ceil(Math.log(factor) / Math.log(bucketFactor));
}

/** Returns counts of nothing. */
export function emptyTally(): Tally {
	return {
		answers: 0, failures: 0, durations: {}, failuresOf: {},
	};
}

/** Returns evidence that counts nothing yet. */
export function emptyEvidence(order: string): Evidence {
	return {order, routes: {}};
}

/** Counts one end in evidence. */
export function countEnd({routes}: Evidence, {arm, route, endpoint, isFailure, milliseconds}: VersionedEnd): void {
	routes[route] ??= {serving: emptyTally(), trial: emptyTally()};
	const tally = routes[route][arm];
	tally.answers += 1;
	if (!isFailure) {
		increase(tally.durations, String(bucketOf(milliseconds)), 1);
		return;
	}

	tally.failures += 1;
	if (arm === 'trial' && (endpoint in tally.failuresOf || Object.keys(tally.failuresOf).length < maximumEndpoints)) {
		increase(tally.failuresOf, endpoint, 1);
	}
}

/** Returns the sum of the evidence of several gateways. */
export function sumEvidence(order: string, parts: readonly Evidence[]): Evidence {
	const sum = emptyEvidence(order);
	for (const {routes} of parts.filter(part => part.order === order)) {
		for (const [route, {serving, trial}] of Object.entries(routes)) {
			sum.routes[route] ??= {serving: emptyTally(), trial: emptyTally()};
			addTally(sum.routes[route].serving, serving, 1);
			addTally(sum.routes[route].trial, trial, 1);
		}
	}

	return sum;
}

/** Returns what was counted since an earlier sum; counts that a restarted gateway has lost are taken as none. */
export function evidenceSince(present: Evidence, earlier: Evidence): Evidence {
	const difference = sumEvidence(present.order, [present]);
	for (const [route, {serving, trial}] of Object.entries(earlier.routes)) {
		const later = difference.routes[route];
		if (later) {
			addTally(later.serving, serving, -1);
			addTally(later.trial, trial, -1);
		}
	}

	return difference;
}

/** Returns the counts of all routes together. */
export function allRoutes({routes}: Evidence, arm: Arm): Tally {
	const sum = emptyTally();
	for (const tallies of Object.values(routes)) {
		addTally(sum, tallies[arm], 1);
	}

	return sum;
}

function addTally(sum: Tally, {answers, failures, durations, failuresOf}: Tally, sign: 1 | -1): void {
	sum.answers = Math.max(0, sum.answers + (sign * answers));
	sum.failures = Math.max(0, sum.failures + (sign * failures));
	for (const [key, count] of Object.entries(durations)) {
		increase(sum.durations, key, sign * count);
	}

	for (const [key, count] of Object.entries(failuresOf)) {
		increase(sum.failuresOf, key, sign * count);
	}
}

function increase(counts: Record<string, number>, key: string, by: number): void {
	counts[key] = Math.max(0, (counts[key] ?? 0) + by);
}
