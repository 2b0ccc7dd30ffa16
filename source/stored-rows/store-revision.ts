/**
 * Revisions of the store that stay in order when the store comes back from an older copy.
 *
 * The store numbers its writes by versions. When it is restored from a copy, versions go back and are given out again, and its era rises by
 * one. A revision holds both, so that whatever is written in a later era has a larger revision.
 *
 * @module
 */

/** Number of versions in one era; eras and versions fit into the safe integers. */
const versionsPerEra = 1e12;

/** Returns the revision of a version in an era. */
export function revisionOf(era: number, version: number): number {
	return (era * versionsPerEra) + version;
}

/** Returns the era of a revision. */
export function eraOf(revision: number): number {
	return Math.floor(revision / versionsPerEra);
}

/** Returns the version of a revision within its era. */
export function versionOf(revision: number): number {
	return revision % versionsPerEra;
}
