/**
 * Crashes counted against one request, and the criteria for blocking it.
 *
 * @module
 */
import {type Crash, type Run} from './crashes.ts';

/** A request that was running on endpoints when they crashed. */
export type Suspect = {
	crashes: Crash[];
	/** Crashes after which the request produced enough tokens elsewhere; a request that causes a crash at a fixed point of its text cannot do so. */
	progressedPast: Set<Crash>;
	expiresAt: number;
	/** Whether the request has produced enough tokens since its last crash to share its endpoint with others. */
	released: boolean;
	/** Wall-clock time of a pending decision to block the request, in milliseconds. */
	blockAt: number | undefined;
};

/** Crashes within the suspicion period that block a request even if it progressed in between. */
const crashesToBlock = 4;

/** Returns the digest shared by all runs, or nothing if the digests differ or there is no run. */
export function onlyDigestOf(runs: Run[]): string | undefined {
	const digests = new Set(runs.map(({digest}) => digest));
	return digests.size === 1 ? runs[0]!.digest : undefined;
}

/** Returns the crashes counted against a request: those without a correlated failure. */
export function countedCrashes(suspect: Suspect): Crash[] {
	return suspect.crashes.filter(({correlated}) => !correlated);
}

/** Whether the crashes are too many for a coincidence: two without progress since, or several in total. */
export function hasEnoughEvidence(suspect: Suspect): boolean {
	const crashes = countedCrashes(suspect);
	return crashes.length >= crashesToBlock || crashes.filter(crash => !suspect.progressedPast.has(crash)).length >= 2;
}
