/**
 * What a check is.
 *
 * @module
 */
import {type History} from '../history.ts';

/** A promise that was not kept. */
export type Violation = {
	/** Name of the attempt that shows it, where there is one. */
	attempt?: string;
	message: string;
};

/**
 * Looks for broken promises.
 *
 * @param history What was seen so far.
 * @param now Present time, in milliseconds.
 */
export type Check = (history: History, now: number) => Violation[];
