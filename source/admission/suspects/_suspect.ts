/**
 * What is held against one request.
 *
 * @module
 */
import {type Death, type Run} from './deaths.ts';

/** A request that ran on endpoints when they died. */
export type Suspect = {
	deaths: Death[];
	/** Deaths that the request has gone on from by enough tokens, which a request that kills at one point of its text cannot. */
	passed: Set<Death>;
	expiresAt: number;
	released: boolean;
	convictAt: number | undefined;
};

/** Deaths within the time of suspicion that convict a request although it went on in between. */
const mostDeaths = 4;

/** Returns the digest that all runs share, if there is just one. */
export function loneOf(runs: Run[]): string | undefined {
	const digests = new Set(runs.map(({digest}) => digest));
	return digests.size === 1 ? runs[0]!.digest : undefined;
}

/** Returns the deaths that are held against a request. */
export function standing(suspect: Suspect): Death[] {
	return suspect.deaths.filter(({common}) => !common);
}

/** Whether a request's deaths are too many for chance: two that it never went on from, or several in all. */
export function isConvincing(suspect: Suspect): boolean {
	const deaths = standing(suspect);
	return deaths.length >= mostDeaths || deaths.filter(death => !suspect.passed.has(death)).length >= 2;
}
