/**
 * Judges a version under trial by how its answers compare with those of the serving version.
 *
 * @module
 */
import {
	allRoutes, bucketsOfFactor, type Evidence, type Tally,
} from './evidence.ts';

/** Judgement of a version: worse than the serving one, or not shown to be; `answers` counts those of the version. */
export type Judgement = {isBad: boolean; answers: number; reason: string};

/** How unlikely bad answers must be by chance before a version is judged to be bad. */
export const certainty = {
	/** While more evidence can be had: several judgements are made each second of a trial. */
	during: 0.0002,
	/** Before all requests are sent to the version. */
	final: 0.03,
} as const;

/** Answers are slow if they take this many times as long as half of the serving version's on the same route. */
const slowFactor = 2.5;

/** Slow answers that the serving version must have been measured by, on a route. */
const minimumComparedAnswers = 5;

/** Share of bad answers that a sound version may always have, and the factor by which it may exceed the serving version's share. */
const toleratedShare = 0.03;
const toleratedFactor = 1.5;

/** Number of bad answers below which no version is judged to be bad. */
const minimumBadAnswers = 3;

/** Number of trial endpoints from which on one of them may be faulty without the version being so. */
const endpointsForOneFaulty = 3;

/**
 * Judges a version.
 *
 * @param evidence Counts of both versions.
 * @param maximumChance Largest probability with which a sound version may be judged to be bad.
 * @param endpoints Number of endpoints under trial; the failures of one of several that has most of them are not held against the version.
 */
export function judgeVersion(evidence: Evidence, maximumChance: number, endpoints = 1): Judgement {
	const trial = allRoutes(evidence, 'trial');
	const comparisons = [
		...Object.entries(evidence.routes).flatMap(([route, tallies]) => [
			{what: `failures on route ${route}`, ...compareFailures(tallies.serving, tallies.trial, endpoints)},
			{what: `slow answers on route ${route}`, ...compareSlowness(tallies.serving, tallies.trial)},
		]),
		{what: 'failures', ...compareFailures(allRoutes(evidence, 'serving'), trial, endpoints)},
	];
	const bad = comparisons.find(({badAnswers, answers, tolerated}) => badAnswers >= minimumBadAnswers && chanceOfAtLeast(badAnswers, answers, tolerated) <= maximumChance);
	return {
		isBad: bad !== undefined,
		answers: trial.answers,
		reason: bad ? `${bad.badAnswers} of ${bad.answers}: ${bad.what}; ${(bad.tolerated * 100).toFixed(1)} % are tolerated` : `${trial.failures} of ${trial.answers} answers failed`,
	};
}

/** Bad answers of a version under trial, and the share of them that a sound one may have. */
type Comparison = {badAnswers: number; answers: number; tolerated: number};

function compareFailures(serving: Tally, trial: Tally, endpoints: number): Comparison {
	const ofWorst = Math.max(0, ...Object.values(trial.failuresOf));
	const setAside = endpoints >= endpointsForOneFaulty && ofWorst * 2 > trial.failures ? ofWorst : 0;
	return {badAnswers: trial.failures - setAside, answers: trial.answers - setAside, tolerated: toleratedShareOf(serving.failures, serving.answers)};
}

function compareSlowness(serving: Tally, trial: Tally): Comparison {
	const limit = medianBucket(serving) + bucketsOfFactor(slowFactor);
	const [servingAnswers, answers] = [countFrom(serving, 0), countFrom(trial, 0)];
	return servingAnswers < minimumComparedAnswers
		? {badAnswers: 0, answers, tolerated: 1}
		: {badAnswers: countFrom(trial, limit), answers, tolerated: toleratedShareOf(countFrom(serving, limit), servingAnswers)};
}

/** Returns the share of bad answers that a sound version may have beside the serving one. */
function toleratedShareOf(bad: number, answers: number): number {
	return Math.min(1, toleratedShare + (toleratedFactor * bad / Math.max(1, answers)));
}

/** Returns the number of good answers in a bucket or a later one. */
function countFrom({durations}: Tally, bucket: number): number {
	let sum = 0;
	for (const [key, count] of Object.entries(durations)) {
		sum += Number(key) >= bucket ? count : 0;
	}

	return sum;
}

function medianBucket(tally: Tally): number {
	const half = countFrom(tally, 0) / 2;
	let below = 0;
	for (const [key, count] of Object.entries(tally.durations).toSorted(([a], [b]) => Number(a) - Number(b))) {
		below += count;
		if (below >= half) {
			return Number(key);
		}
	}

	return 0;
}

/** Returns the probability of at least a number of bad answers, each with a probability. */
export function chanceOfAtLeast(bad: number, answers: number, probability: number): number {
	if (bad <= 0 || probability >= 1) {
		return 1;
	}

	let logarithm = answers * Math.log1p(-probability);
	let below = 0;
	for (let count = 0; count < bad; count += 1) {
		below += Math.exp(logarithm);
		logarithm += Math.log((answers - count) / (count + 1)) + Math.log(probability / (1 - probability));
	}

	return Math.max(0, 1 - below);
}
